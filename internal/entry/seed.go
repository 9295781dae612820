// Writing of a first configuration document, for development and tests.

package entry

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/internal/platform"
	"github.com/lavendercleat/lavendercleat/schema"
)

// SeedConfig writes a first configuration document to a stand-in platform, for the dev command, experiments
// and tests. It fails if the document is invalid or if the platform already has one.
func SeedConfig(ctx context.Context, platformURL string, doc *schema.Config) error {
	if err := config.Validate(doc); err != nil {
		return err
	}
	b, err := proto.Marshal(doc)
	if err != nil {
		return err
	}
	c := platform.NewClient(platformURL)
	defer c.Close()
	_, err = c.CompareAndSwap(ctx, ConfigKey, 0, b)
	return err
}

package submission_test

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"time"

	"github.com/lavendercleat/lavendercleat/submission"
)

// The owner mints an identifier and accepts a request under it. The first request gets the
// right to start the tasks; a repeated one waits for the same response.
func Example() {
	minter := submission.NewMinter(netip.MustParseAddrPort("10.0.0.1:7403"))
	table := submission.NewTable(submission.TableConfig{
		Window: time.Minute, Retention: time.Minute, MaxBytes: 1 << 20,
	})
	text := minter.Mint("kumasi", 0).String()

	body := sha256.Sum256([]byte(`{"kind":"crusher-booking"}`))
	for now := time.Second; now <= 2*time.Second; now += time.Second {
		id, err := submission.Parse(text)
		if err != nil || minter.Verify(id, "kumasi") != nil {
			fmt.Println("not an identifier of this team")
			return
		}
		record, first, failure := table.Begin(id, "kumasi", body, now)
		if failure != nil {
			fmt.Println(failure)
			return
		}
		if first { // start the tasks; later:
			table.End(record, submission.Response{Status: 200, Body: []byte("booked")}, now)
		}
		<-record.Done()
		fmt.Println(first, string(record.Response().Body))
	}
	id, _ := submission.Parse(text)
	_, _, failure := table.Begin(id, "kumasi", sha256.Sum256([]byte("another body")), 3*time.Second)
	fmt.Println(failure.Reason, failure.Verdict)
	// Output:
	// true booked
	// false booked
	// identifier_reused not-run
}

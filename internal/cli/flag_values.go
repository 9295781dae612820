// Parsing and checks of flag values: addresses, durations and URLs.

package cli

import (
	"net/netip"
	"net/url"
	"reflect"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// valueMappers parse addresses and durations. kong's own errors for these types do not name the
// accepted values.
func valueMappers() []kong.Option {
	return []kong.Option{
		kong.TypeMapper(reflect.TypeFor[netip.AddrPort](), kong.MapperFunc(decodeAddress)),
		kong.TypeMapper(reflect.TypeFor[time.Duration](), kong.MapperFunc(decodeDuration)),
	}
}

// decodeAddress parses an IP:port. It refuses host names: processes know each other by IP address,
// and a resolver would be one more component that can fail.
func decodeAddress(c *kong.DecodeContext, target reflect.Value) error {
	text, err := popString(c, "IP:port")
	if err != nil {
		return err
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Newf("is %q; accepted are IP:port with an IP number, such as 10.0.0.1:7400 or [fd00::1]:7400", text)
	}
	target.Set(reflect.ValueOf(a))
	return nil
}

// decodeDuration parses a duration such as 500ms.
func decodeDuration(c *kong.DecodeContext, target reflect.Value) error {
	text, err := popString(c, "duration")
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("is %q; accepted are durations such as 500ms, 2s or 1m30s", text)
	}
	target.SetInt(int64(d))
	return nil
}

// popString takes the next value from the command line. typeName names the expected type in kong's errors.
func popString(c *kong.DecodeContext, typeName string) (string, error) {
	var text string
	err := c.Scan.PopValueInto(typeName, &text)
	return text, err
}

// checkURL checks that a value is the base URL of one of lavendercleat's HTTP interfaces.
func checkURL(flag, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" || (u.Path != "" && u.Path != "/") {
		return errors.Newf("--%s is %q; accepted are http://host:port and https://host:port", flag, value)
	}
	return nil
}

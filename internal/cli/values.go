package cli

import (
	"net/netip"
	"net/url"
	"reflect"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// valueMappers read the values whose own errors don't name what is accepted.
func valueMappers() []kong.Option {
	return []kong.Option{
		kong.TypeMapper(reflect.TypeFor[netip.AddrPort](), kong.MapperFunc(decodeAddress)),
		kong.TypeMapper(reflect.TypeFor[time.Duration](), kong.MapperFunc(decodeDuration)),
	}
}

// mapAddress reads an IP:port. Names are refused: processes are known to each other
// by IP numbers, and a resolver is one more thing that fails.
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

// mapDuration reads a duration.
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

func popString(c *kong.DecodeContext, typeName string) (string, error) {
	var text string
	err := c.Scan.PopValueInto(typeName, &text)
	return text, err
}

// checkURL checks the URL of an interface of lavendercleat.
func checkURL(flag, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" || (u.Path != "" && u.Path != "/") {
		return errors.Newf("--%s is %q; accepted are http://host:port and https://host:port", flag, value)
	}
	return nil
}

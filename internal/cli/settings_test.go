package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/internal/peer"
)

// writeCredentials writes valid and invalid PEM files and returns their directory.
func writeCredentials(t *testing.T) string {
	t.Helper()
	p, err := peer.Generate()
	assert.NilError(t, err)
	other, err := peer.Generate()
	assert.NilError(t, err)
	dir := t.TempDir()
	for name, b := range map[string][]byte{
		"ca.pem": p.CA, "cert.pem": p.Cert, "key.pem": p.Key, "other-ca.pem": other.CA, "other-key.pem": other.Key, "text.pem": []byte("no PEM"),
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), b, 0o600))
	}
	return dir
}

// A command with an invalid setting runs anyway, or its error does not name the flag and the accepted
// values. The exit code must be 2 and the standard output empty.
func TestInvalidSettingIsRefusedBeforeStart(t *testing.T) {
	dir := writeCredentials(t)
	file := func(name string) string { return filepath.Join(dir, name) }
	goodEntry := []string{"entry", "--domain=krk-a", "--platform-url=http://127.0.0.1:1",
		"--ca-file=" + file("ca.pem"), "--cert-file=" + file("cert.pem"), "--key-file=" + file("key.pem")}
	goodLoad := []string{"load", "--urls=http://127.0.0.1:1", "--token=t"}
	hash := strings.Repeat("ab", 32)
	tests := []struct {
		command []string
		wrong   string
		// want lists texts that the error must contain.
		want []string
	}{
		{goodEntry, "--domain=", []string{"--domain", "letters"}},
		{goodEntry, "--domain=krk/a", []string{"--domain", "letters"}},
		{goodEntry, "--platform-url=10.0.0.1:7410", []string{"--platform-url", "http://IP:port"}},
		{goodEntry, "--platform-url=ftp://10.0.0.1:7410", []string{"--platform-url", "http://IP:port"}},
		{goodEntry, "--platform-url=http://platform:7410", []string{"--platform-url", "IP number"}},
		{goodEntry, "--platform-url=http://10.0.0.1:7410/v1", []string{"--platform-url", "http://IP:port"}},
		{goodEntry, "--caller-address=:7400", []string{"--caller-address", "IP:port"}},
		{goodEntry, "--caller-address=10.0.0.1", []string{"--caller-address", "IP:port"}},
		{goodEntry, "--caller-address=localhost:7400", []string{"--caller-address", "IP number"}},
		{goodEntry, "--operator-address=10.0.0.1:70000", []string{"--operator-address", "IP:port"}},
		{goodEntry, "--metrics-address=", []string{"--metrics-address", "IP:port"}},
		{goodEntry, "--peer-address=entry-1:7403", []string{"--peer-address", "IP number"}},
		{goodEntry, "--peer-address=0.0.0.0:7403", []string{"--peer-address", "peers reach"}},
		{goodEntry, "--peer-address=[::]:7403", []string{"--peer-address", "peers reach"}},
		{goodEntry, "--peer-address=224.0.0.1:7403", []string{"--peer-address", "peers reach"}},
		{goodEntry, "--peer-address=[::ffff:10.0.0.1]:7403", []string{"--peer-address", "peers reach"}},
		{goodEntry, "--peer-address=[fe80::1%eth0]:7403", []string{"--peer-address", "peers reach"}},
		{goodEntry, "--peer-listen=224.0.0.1:7403", []string{"--peer-listen", "IP:port"}},
		{goodEntry, "--peer-listen=here", []string{"--peer-listen", "IP:port"}},
		{goodEntry, "--seed-peers=10.0.0.1:7403,entry-2:7403", []string{"--seed-peers", "IP:port"}},
		{goodEntry, "--seed-peers=10.0.0.1:0", []string{"--seed-peers", "port above 0"}},
		{goodEntry, "--seed-peers=0.0.0.0:7403", []string{"--seed-peers", "IP:port"}},
		{goodEntry, "--operators=anna", []string{"--operators", "name:hash"}},
		{goodEntry, "--operators=:" + hash, []string{"--operators", "name:hash"}},
		{goodEntry, "--operators=anna:abcd", []string{"--operators", "64"}},
		{goodEntry, "--operators=anna:" + strings.ToUpper(hash), []string{"--operators", "lower-case"}},
		{goodEntry, "--operators=anna:" + hash + ",anna:" + strings.Repeat("cd", 32), []string{"--operators", "once"}},
		{goodEntry, "--operators=anna:" + hash + ",piotr:" + hash, []string{"--operators", "once"}},
		{goodEntry, "--ca-file=" + file("none.pem"), []string{"--ca-file", "readable"}},
		{goodEntry, "--ca-file=" + file("text.pem"), []string{"--ca-file", "PEM"}},
		{goodEntry, "--ca-file=" + dir, []string{"--ca-file", "readable"}},
		{goodEntry, "--ca-file=" + file("other-ca.pem"), []string{"--cert-file", "authority of --ca-file"}},
		{goodEntry, "--cert-file=" + file("none.pem"), []string{"--cert-file", "readable"}},
		{goodEntry, "--cert-file=" + file("text.pem"), []string{"--cert-file", "PEM"}},
		{goodEntry, "--key-file=" + file("other-key.pem"), []string{"--key-file", "key pair"}},
		{goodEntry, "--heartbeat-interval=1ms", []string{"--heartbeat-interval", "50ms to 10s"}},
		{goodEntry, "--heartbeat-interval=often", []string{"--heartbeat-interval", "durations such as"}},
		{goodEntry, "--heartbeat-interval=500", []string{"--heartbeat-interval", "durations such as"}},
		{goodEntry, "--peer-timeout=1s", []string{"--peer-timeout", "3 times --heartbeat-interval"}},
		{goodEntry, "--peer-timeout=2m", []string{"--peer-timeout", "150ms to 1m"}},
		{goodEntry, "--identifier-window=0s", []string{"--identifier-window", "1s to 1h"}},
		{goodEntry, "--answer-retention=2h", []string{"--answer-retention", "1s to 1h"}},
		{goodEntry, "--answer-bytes=1000", []string{"--answer-bytes", "1048576 to"}},
		{goodEntry, "--answer-bytes=much", []string{"--answer-bytes", "int"}},
		{goodEntry, "--stop-timeout=-1s", []string{"--stop-timeout", "0s to 10m"}},
		{goodEntry, "--stop-delay=2m", []string{"--stop-delay", "0s to 1m"}},
		{goodEntry, "--worker-idle-timeout=2m", []string{"--worker-idle-timeout", "10ms to 1m"}},
		{goodEntry, "--worker-dial-timeout=0s", []string{"--worker-dial-timeout", "10ms to 1m"}},
		{goodEntry, "--worker-silence-timeout=10ms", []string{"--worker-silence-timeout", "1s to 1m"}},
		{goodEntry, "--log-level=loud", []string{"--log-level", "debug"}},
		{goodEntry, "--no-such-flag", []string{"--no-such-flag"}},
		{[]string{"entry"}, "--domain=krk-a", []string{"--platform-url", "http://IP:port"}},
		{[]string{"dev"}, "--port=70000", []string{"--port", "0 to 65530"}},
		{[]string{"dev"}, "--port=-1", []string{"--port", "0 to 65530"}},
		{[]string{"dev"}, "--port=http", []string{"--port", "int"}},
		{[]string{"submit", "-", "--token=t"}, "--timeout=0s", []string{"--timeout", "above 0s"}},
		{[]string{"submit", "-", "--token=t"}, "--url=entry", []string{"--url", "http://host:port"}},
		{[]string{"submit", "-"}, "--token=", []string{"--token", "team"}},
		{[]string{"submit", "-"}, "--timeout=1s", []string{"--token"}},
		{[]string{"submit", "--token=t"}, file("none.json"), []string{"none.json"}},
		{[]string{"status"}, "--url=127.0.0.1:7401", []string{"--url", "http://host:port"}},
		{[]string{"status"}, "--token=", []string{"--token", "operator"}},
		{[]string{"plan", "restore", "--token=t"}, "--url=entry", []string{"--url", "http://host:port"}},
		{[]string{"plan", "init", "--token=t"}, file("none.json"), []string{"none.json"}},
		{[]string{"confirm", "--token=t"}, "--file=" + file("none.json"), []string{"--file", "none.json"}},
		{[]string{"confirm"}, "--token=t", []string{"--file"}},
		{[]string{"standin", "platform"}, "--address=platform:1", []string{"--address", "IP:port"}},
		{[]string{"standin", "platform"}, "--address=", []string{"--address", "IP:port"}},
		{[]string{"standin", "backend"}, "--address=10.0.0.1", []string{"--address", "IP:port"}},
		{[]string{"standin", "backend", "--count=20"}, "--address=127.0.0.1:65530", []string{"--address", "65535"}},
		{[]string{"standin", "backend"}, "--count=0", []string{"--count", "1 to 1000"}},
		{[]string{"standin", "backend"}, "--slots=0", []string{"--slots", "1 to 10000"}},
		{[]string{"standin", "backend"}, "--slots=many", []string{"--slots", "int"}},
		{[]string{"standin", "backend"}, "--connections=-5", []string{"--connections", "1 to 100000"}},
		{[]string{"standin", "backend"}, "--run-time=-5ms", []string{"--run-time", "0s to 1h"}},
		{goodEntry, "--remote-heartbeat-interval=1m", []string{"--remote-heartbeat-interval", "0s to 10s"}},
		{goodEntry, "--remote-peer-timeout=1s", []string{"--remote-peer-timeout", "3 times --remote-heartbeat-interval"}},
		{goodLoad, "--urls=entry", []string{"--urls", "http://host:port"}},
		{goodLoad, "--metrics-urls=entry", []string{"--metrics-urls", "http://host:port"}},
		{goodLoad, "--jobs-per-second=0", []string{"--jobs-per-second", "above 0"}},
		{goodLoad, "--duration=0s", []string{"--duration", "1s and more"}},
		{goodLoad, "--max-tasks=500", []string{"max_tasks", "1 to 160"}},
		{goodLoad, "--cancel-share=2", []string{"cancel_share", "0 to 1"}},
		{goodLoad, "--profile=" + file("text.pem"), []string{"not a load profile"}},
		{[]string{"load", "experiment"}, "--policy=best", []string{"--policy", "accepted"}},
		{[]string{"load", "experiment"}, "--load=0", []string{"--load", "above 0"}},
		{[]string{"load", "experiment"}, "--workers=1", []string{"--workers", "3 to 2000"}},
		{[]string{"load", "experiment"}, "--fault=fire", []string{"--fault", "black-hole"}},
		{[]string{"load", "experiment", "--one-entry"}, "--fault=entry-killed", []string{"--fault", "--one-entry"}},
		{[]string{"lead"}, "--now", []string{"lead", "--help"}},
	}
	for _, test := range tests {
		t.Run(strings.Join(test.command[:1], " ")+" "+test.wrong, func(t *testing.T) {
			var out, log bytes.Buffer
			code := Main(append(test.command[:len(test.command):len(test.command)], test.wrong), &out, &log)
			assert.Equal(t, code, exitUsage, log.String())
			assert.Equal(t, out.Len(), 0)
			for _, want := range test.want {
				assert.Assert(t, strings.Contains(log.String(), want), "no %q in %s", want, log.String())
			}
		})
	}
}

// An invalid setting from the environment is accepted, because only flags are checked.
func TestInvalidEnvironmentVariableIsRefused(t *testing.T) {
	t.Setenv("LAVENDERCLEAT_RUN_TIME", "soon")
	var out, log bytes.Buffer
	assert.Equal(t, Main([]string{"standin", "backend"}, &out, &log), exitUsage)
	for _, want := range []string{"--run-time", "durations such as"} {
		assert.Assert(t, strings.Contains(log.String(), want), log.String())
	}
}

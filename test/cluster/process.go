package cluster

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// isRefused tells whether a UDP read failed because nobody listens at the target.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

var (
	buildOnce sync.Once
	buildPath string
	buildErr  error
)

// Binary builds the program once per test process and returns its path.
func Binary(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "lavendercleat")
		if err != nil {
			buildErr = err
			return
		}
		buildPath = filepath.Join(dir, "lavendercleat")
		out, err := exec.Command("go", "build", "-o", buildPath, "github.com/lavendercleat/lavendercleat/cmd/lavendercleat").CombinedOutput()
		if err != nil {
			buildErr = errors.Wrapf(err, "%s", out)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return buildPath
}

// Process is a running program.
type Process struct {
	cmd  *exec.Cmd
	log  lockedBuffer
	done chan struct{}
	err  error
}

// lockedBuffer is a buffer that may be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns what was written so far.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// readyTimeout bounds the wait for a program's first line.
const readyTimeout = 20 * time.Second

// Run starts the program and decodes the first line of its standard output into ready.
// The process is killed when the test ends; its log is shown if the test failed.
func Run(t testing.TB, name string, ready any, args ...string) *Process {
	t.Helper()
	p := &Process{cmd: exec.Command(Binary(t), args...), done: make(chan struct{})}
	p.cmd.Stderr = &p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.log.String())
		}
	})
	line := make(chan []byte, 1)
	go func() {
		scan := bufio.NewScanner(out)
		scan.Buffer(nil, 1<<20)
		if scan.Scan() {
			line <- bytes.Clone(scan.Bytes())
		}
		for scan.Scan() { // keeps the pipe empty
		}
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	select {
	case b := <-line:
		if err := json.Unmarshal(b, ready); err != nil {
			t.Fatalf("%s: first line %q: %v", name, b, err)
		}
	case <-p.done:
		t.Fatalf("%s ended before it was ready: %v\n%s", name, p.err, p.log.String())
	case <-time.After(readyTimeout):
		t.Fatalf("%s was not ready in time\n%s", name, p.log.String())
	}
	return p
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // a stopped process would keep its end from being seen
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze stops the process without its noticing; Thaw lets it go on.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw ends Freeze.
func (p *Process) Thaw() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to stop gracefully.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Wait waits for the end of the process and returns its error.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return errors.New("the process did not end in time")
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Log returns what the process logged so far.
func (p *Process) Log() string { return p.log.String() }

// Pid returns the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// RunLogged starts the program with additional environment variables and keeps all that
// it writes as its log. The process is killed when the test ends.
func RunLogged(t testing.TB, name string, env []string, args ...string) *Process {
	t.Helper()
	p := &Process{cmd: exec.Command(Binary(t), args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.log.String())
		}
	})
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p
}

// HangUp sends SIGHUP.
func (p *Process) HangUp() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

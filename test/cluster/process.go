// The build of the program, and its processes with their signals and logs.

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

// isConnectionRefused reports whether a UDP read failed because no socket listens at the target.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

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

// Process is a process of the built program.
type Process struct {
	cmd  *exec.Cmd
	log  lockedBuffer
	done chan struct{}
	err  error
}

// lockedBuffer is a buffer that is safe to read during writes.
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

// String returns the data written so far.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// readyTimeout limits the wait for the first line of output of a process.
const readyTimeout = 20 * time.Second

// Run starts the program and decodes the first line of its standard output into ready. The process
// is killed when the test ends. If the test has failed, it logs the log of the process.
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
		for scan.Scan() { // A full pipe would block the process.
		}
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	select {
	case b := <-line:
		if err := json.Unmarshal(b, ready); err != nil {
			t.Fatalf("%s: expected one line of JSON, got %q: %v", name, b, err)
		}
	case <-p.done:
		t.Fatalf("%s ended before it printed its first line: %v\n%s", name, p.err, p.log.String())
	case <-time.After(readyTimeout):
		t.Fatalf("%s did not print its first line within %s\n%s", name, readyTimeout, p.log.String())
	}
	return p
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // The end of a stopped process would not be noticed.
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze stops the process with SIGSTOP, which the process cannot notice, until Thaw.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a process that Freeze stopped.
func (p *Process) Thaw() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM: the process stops gracefully.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Wait waits until the process has ended and returns its error, or an error after the timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return errors.Newf("the process did not end within %s", timeout)
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

// Log returns the log of the process so far.
func (p *Process) Log() string { return p.log.String() }

// Pid returns the process identifier.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// RunLogged starts the program with additional environment variables. Its log contains the standard
// output and the standard error. The process is killed when the test ends.
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

// SendSIGHUP sends SIGHUP to the process.
func (p *Process) SendSIGHUP() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

//go:build linux

package soak

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startsChild is set in the environment of a process that starts a child and waits.
const startsChild = "SOAK_TEST_STARTS_CHILD"

// Guards against entry hosts that an ended soak leaves behind: they poll the addresses of
// their store and targets, which the targets of later runs get.
func TestProcessesEndWithTheSoak(t *testing.T) {
	if os.Getenv(startsChild) != "" {
		child := exec.Command("sleep", "600")
		child.SysProcAttr = endedWithParent()
		if err := child.Start(); err != nil {
			t.Fatal(err)
		}
		fmt.Println("child", child.Process.Pid)
		_ = child.Wait()
		return
	}
	parent := exec.Command(os.Args[0], "-test.run=^TestProcessesEndWithTheSoak$")
	parent.Env = append(os.Environ(), startsChild+"=1")
	out, err := parent.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := parent.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "child")))
	if err != nil {
		t.Fatal(err)
	}
	_ = parent.Process.Kill()
	_, _ = parent.Process.Wait()
	const patience = 10 * time.Second
	for deadline := time.Now().Add(patience); !hasEnded(pid); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			_ = syscall.Kill(pid, syscall.SIGKILL)
			t.Fatalf("the child still runs %s after its parent has ended", patience)
		}
	}
}

// hasEnded reports whether a process has ended, also when nobody has waited for it.
func hasEnded(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err != nil || strings.Contains(string(status), ") Z ")
}

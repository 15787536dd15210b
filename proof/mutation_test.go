package proof

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"golang.org/x/tools/txtar"
)

// TestRulesAreNeeded reads the cases in testdata. Each has the parts file (the
// source file, from the root), old and new (text that is replaced) and test
// (what must fail then: the arguments of go test, or e2e and the name of an
// end-to-end script). The comment says which rule is taken away.
func TestRulesAreNeeded(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got %d cases, error %v, want some", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			t.Parallel()
			runCase(t, path)
		})
	}
}

func runCase(t *testing.T, path string) {
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	parts := map[string]string{}
	for _, f := range archive.Files {
		parts[f.Name] = strings.TrimSuffix(string(f.Data), "\n")
	}
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	overlay := writeOverlay(t, filepath.Join(root, parts["file"]), parts["old"], parts["new"])
	if script, ok := strings.CutPrefix(parts["test"], "e2e "); ok {
		runScript(t, root, overlay, script)
		return
	}
	args := append([]string{"test", "-count=1", "-overlay=" + overlay}, strings.Fields(parts["test"])...)
	cmd := exec.Command("go", args...)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	if err == nil {
		t.Errorf("go %s: got a pass without the rule, want a failure", strings.Join(args, " "))
	}
	if strings.Contains(string(out), "[build failed]") || !strings.Contains(string(out), "FAIL") {
		t.Errorf("go %s: got\n%s\nwant a failing test", strings.Join(args, " "), out)
	}
}

// scripts lets one end-to-end script run at a time.
var scripts sync.Mutex

// runScript builds the router without the rule and runs an end-to-end script
// with it. The other programs are those that make build has made.
func runScript(t *testing.T, root, overlay, script string) {
	bin := t.TempDir()
	built, err := filepath.Glob(filepath.Join(root, "bin", "*"))
	if err != nil || len(built) == 0 {
		t.Fatalf("got %d programs in bin, error %v, want them built", len(built), err)
	}
	for _, program := range built {
		if err := os.Symlink(program, filepath.Join(bin, filepath.Base(program))); err != nil {
			t.Fatal(err)
		}
	}
	router := filepath.Join(bin, "camphorpulley")
	if err := os.Remove(router); err != nil {
		t.Fatal(err)
	}
	build := exec.Command("go", "build", "-overlay="+overlay, "-o", router, "./router")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: got %v, want none:\n%s", err, out)
	}
	scripts.Lock()
	defer scripts.Unlock()
	cmd := exec.Command("bash", "lab/e2e.sh", script)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "BIN="+bin, "E2E_DIR=run/proof", "E2E_PORT=18000")
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "FAIL "+script) {
		t.Errorf("e2e %s: got error %v and\n%s\nwant a failure without the rule", script, err, out)
	}
}

// writeOverlay makes the overlay file that replaces a part of a source file.
func writeOverlay(t *testing.T, file, old, instead string) string {
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(string(source), old); got != 1 {
		t.Fatalf("%s: got the old text %d times, want 1", file, got)
	}
	dir := t.TempDir()
	changed := filepath.Join(dir, filepath.Base(file))
	if err := os.WriteFile(changed, []byte(strings.Replace(string(source), old, instead, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(map[string]map[string]string{"Replace": {file: changed}})
	if err != nil {
		t.Fatal(err)
	}
	overlay := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlay, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return overlay
}

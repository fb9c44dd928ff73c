package http1

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// clientMarks are what the source of an HTTP client has. Clients of the lab, of reviews and
// of tests may read what they like.
var clientMarks = []string{"http.Transport{", "http.DefaultClient", "http.DefaultTransport", "fasthttp.Client{", "fasthttp.HostClient{",
	"fasthttp.PipelineClient{", "awshttp.NewBuildableClient(", "http.ReadResponse(", "http.Get(", "fasthttp.Do("}

// Guards against a client that reads responses without this package.
func TestClientsReadThroughThisPackage(t *testing.T) {
	clients := 0
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := d.Name()
		if d.IsDir() && (strings.HasPrefix(name, ".") && name != ".." || name == "lab" || name == "review" || name == "journal" || name == "http1") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, mark := range clientMarks {
			if !bytes.Contains(source, []byte(mark)) {
				continue
			}
			clients++
			if !bytes.Contains(source, []byte("http1.Guard(")) && !bytes.Contains(source, []byte("http1.NewConn(")) {
				t.Errorf("%s has a client (%s) that reads responses without http1.Guard or http1.NewConn", path, mark)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	const leastClients = 8
	if clients < leastClients {
		t.Errorf("found %d clients; expected at least %d, the marks of clients have changed", clients, leastClients)
	}
}

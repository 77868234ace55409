package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/baobabtide/baobabtide/btlog"
)

// The page contains the plot and the table, escapes text from the logs and refers
// to no other file.
func TestPage(t *testing.T) {
	log := `{"node":"a","event":"requests.served","asked":100,"answered":90,"not-run":8,"may-have-run":2,"time":1700000001000000}
{"node":"a","event":"requests.served","asked":50,"answered":50,"not-run":0,"may-have-run":0,"time":1700000006000000}
{"node":"a","event":"request.refused","request":"r1","reason":"<overload>","time":1700000006000100}
`
	for name, text := range map[string]string{"two periods": log, "no lines": ""} {
		t.Run(name, func(t *testing.T) {
			s := &btlog.Summary{}
			if err := s.Read(strings.NewReader(text)); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(t.TempDir(), "page.html")
			if err := writePage(path, s); err != nil {
				t.Fatal(err)
			}
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			page := string(data)
			if !strings.Contains(page, "<svg") || !strings.Contains(page, "lines read") {
				t.Errorf("the page lacks the plot or the table:\n%s", page)
			}
			if strings.Contains(page, "<overload>") || strings.Contains(page, "<?xml") || strings.Contains(page, "src=") {
				t.Error("a reason is not escaped, or the page refers to another file")
			}
		})
	}
}

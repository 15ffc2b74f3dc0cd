package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
)

// Several events write one router's configuration at the same time: each write succeeds, and the file is always complete
// and ends with the newest values.
func TestConcurrentConfigWrites(t *testing.T) {
	const writers, writes = 8, 50
	router := &router{configFile: filepath.Join(t.TempDir(), "n0.json"), knownList: `{"version":1,"full":true,"servers":[]}`}
	scenario := NewScenario(1)
	var writing sync.WaitGroup
	for writer := range writers {
		writing.Go(func() {
			for i := range writes {
				router.mu.Lock()
				router.discovery = fmt.Sprintf("127.0.0.1:%d", 1000+writer*writes+i)
				router.mu.Unlock()
				if err := router.writeConfig(scenario, false); err != nil {
					t.Error(err)
				}
				text, err := os.ReadFile(router.configFile)
				if err != nil || !json.Valid(text) {
					t.Errorf("the file holds %d bytes, %v, want a complete configuration", len(text), err)
				}
			}
		})
	}
	writing.Wait()
	var written struct{ Discovery string }
	text, err := os.ReadFile(router.configFile)
	if err != nil || json.Unmarshal(text, &written) != nil || written.Discovery != router.discovery {
		t.Errorf("the file has discovery at %q, %v, want %q", written.Discovery, err, router.discovery)
	}
}

package service

import (
	_ "embed" // of the schema
	"os"
	"runtime"
	"strings"
	"sync"

	"sedgestream/internal/configfile"
	"sedgestream/internal/decide/terms"
)

// SchemaText is the published JSON schema of the router's configuration file.
//
//go:embed config.schema.json
var SchemaText []byte

var configSchema = sync.OnceValue(func() *configfile.Schema { return configfile.NewSchema(SchemaText) })

// Findings are the results of checking a configuration file.
type Findings struct {
	Faults   configfile.Faults // a router would not start with the file
	Warnings configfile.Faults // values that a router would replace by defaults
	Unread   configfile.Faults // members that no code reads
}

// Check reads a configuration file as a router does at its start. As there, env supplies values that the
// file lacks.
func Check(path string, env func(string) string) (found Findings, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return found, err
	}
	document := configfile.Parse(path, text)
	config, err := ReadConfig(func(key string) string {
		if key == "ROUTER_CONFIG" {
			return path
		}
		return env(key)
	})
	if err != nil && document.Err() == nil {
		member, _, _ := strings.Cut(err.Error(), ":")
		document.AddFaults([]configfile.PointerFault{{Pointer: "/" + strings.ReplaceAll(member, ".", "/"), Reason: err.Error()}})
	}
	if err != nil {
		found.Faults = document.Faults()
	}
	if document.Value == nil {
		return found, nil
	}
	found.Warnings = schemaFindings(path, text, config)
	unread := configfile.Parse(path, text)
	unread.CheckUnread(configSchema())
	found.Unread = unread.Faults()
	return found, nil
}

// schemaFindings returns the violations of the published schema, and the values that were replaced by
// defaults.
func schemaFindings(path string, text []byte, config *Config) configfile.Faults {
	document := configfile.Parse(path, text)
	document.Validate(configSchema())
	if config != nil {
		var faults []configfile.PointerFault
		for _, warning := range config.Warnings {
			faults = append(faults, configfile.PointerFault{Pointer: warning.Pointer, Reason: warning.Reason})
		}
		document.AddFaults(faults)
	}
	return document.Faults()
}

// TermsConstraints returns what a file of terms is validated against: the settings, and the groups of the
// known list. If that list names no node, the groups are unknown.
func (c *Config) TermsConstraints() *terms.Environment {
	constraints := &terms.Environment{Settings: &c.PlatformSettings.Settings,
		Classes: make([]string, len(c.PlatformSettings.Classes)), MaxWaits: c.PlatformSettings.Deadlines,
		Yield: runtime.Gosched}
	for name, class := range c.PlatformSettings.ClassByName {
		constraints.Classes[class] = name
	}
	for _, node := range c.KnownList.Nodes {
		if constraints.Groups == nil {
			constraints.Groups = map[int64]bool{}
		}
		constraints.Groups[node.Group] = true
	}
	return constraints
}

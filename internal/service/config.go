package service

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"sedgestream/internal/discovery"
	"sedgestream/internal/jsonfield"
	"sedgestream/internal/settings"
)

// Config is the configuration of a router: its identity, its addresses, and the resources that it may use.
type Config struct {
	Name, Listen, Discovery string
	PeerListen, PeersAll    string   // where messages of other routers arrive, and where a message to all of them is sent
	Zone                    string   // the router's own; "" if the settings name none
	Peers                   []string // addresses of the other routers, by their number in the settings
	Seed                    uint64
	SeedText                string // as written in the file
	Cores                   float64
	Memory                  int64 // bytes
	Descriptors             int
	KnownList               discovery.ListUpdate
	PlatformSettings        *settings.Settings
	RawSettings             map[string]string  // members of "settings" as written in the file, by name
	Warnings                []settings.Warning // values that do not follow the platform documentation
}

// Limits where the configuration gives none, as in the deployment documentation.
const (
	defaultCores       = 1
	defaultMemoryMB    = 192
	defaultDescriptors = 1024
	maxMemoryMB        = 1 << 20
	bytesPerMB         = 1e6 // the smaller of the possible meanings: a router that exceeds its limit is killed
)

// errUnreadable is the error of a configuration that may become readable a moment later: the file is
// missing, partly written, or cannot be read.
var errUnreadable = errors.New("the configuration cannot be read")

// isUnreadable reports whether reading the configuration again may help.
func isUnreadable(err error) bool { return errors.Is(err, errUnreadable) }

// ReadConfig reads the configuration file, and the environment for values that the file lacks. It fails
// only if something indispensable is missing: the file itself, an address for clients, or a class to
// serve. Every other unreadable value becomes a warning.
func ReadConfig(env func(string) string) (config *Config, err error) {
	defer jsonfield.Catch(&err)
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("ROUTER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	value, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %s is not JSON: %w", errUnreadable, path, err)
	}
	if value.Type() != fastjson.TypeObject {
		return nil, fmt.Errorf("%s: want an object, have %s", path, value.Type())
	}
	r := configReader{value: value, env: env, config: &Config{}}
	r.readAddresses()
	r.readHints()
	r.readLimits()
	r.readSettings()
	return r.config, nil
}

// configReader reads the members of a configuration and collects warnings.
type configReader struct {
	value  *fastjson.Value
	env    func(string) string
	config *Config
}

func (r *configReader) warn(at, format string, args ...any) {
	r.config.Warnings = append(r.config.Warnings, settings.Warning{Pointer: at, Reason: fmt.Sprintf(format, args...)})
}

// text returns the string under a key, or "" if there is none.
func (r *configReader) text(key string) string {
	v := jsonfield.Get(r.value, key)
	if v == nil {
		return ""
	}
	if v.Type() != fastjson.TypeString {
		r.warn("/"+key, "want a string, have %s, treated as missing", v.Type())
		return ""
	}
	return jsonfield.StringValue(v)
}

// textOr returns the string under a key, or the value of an environment variable if there is none.
func (r *configReader) textOr(key, variable string) string {
	if text := r.text(key); text != "" {
		return text
	}
	return r.env(variable)
}

// addressFault returns what is wrong with an address to listen on or connect to, or "" if it is valid. Any
// host is accepted.
func addressFault(address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Sprintf("%q is no address with a port", address)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Sprintf("%q has no port between 0 and 65535", address)
	}
	return ""
}

func (r *configReader) readAddresses() {
	config := r.config
	config.Name = r.textOr("name", "ROUTER_NAME")
	config.Listen = r.textOr("listen", "ROUTER_LISTEN")
	if fault := addressFault(config.Listen); fault != "" {
		jsonfield.Fail("listen: %s", fault)
	}
	config.Discovery = r.textOr("discovery", "ROUTER_DISCOVERY")
	if fault := addressFault(config.Discovery); fault != "" {
		r.warn("/discovery", "%s: only the nodes under \"known\" are used", fault)
	}
	config.PeerListen = r.text("peer_listen")
	if fault := addressFault(config.PeerListen); config.PeerListen != "" && fault != "" {
		r.warn("/peer_listen", "%s: treated as missing", fault)
		config.PeerListen = ""
	}
	config.PeersAll = r.text("peers_all")
	if fault := addressFault(config.PeersAll); config.PeersAll != "" && fault != "" {
		r.warn("/peers_all", "%s: treated as missing", fault)
		config.PeersAll = ""
	}
}

// readHints reads the optional members: the other routers, the seed, and the list of nodes known before
// the start. An invalid one is dropped.
func (r *configReader) readHints() {
	config := r.config
	if peers := jsonfield.Get(r.value, "peers"); peers != nil {
		addresses, err := peers.Array()
		if err != nil {
			r.warn("/peers", "want an array, have %s, read as empty", peers.Type())
		}
		for i, address := range addresses {
			text, err := address.StringBytes()
			if fault := addressFault(string(text)); err != nil || fault != "" {
				r.warn(fmt.Sprintf("/peers/%d", i), "%s is no address with a port, left out", address)
				text = nil // keeps the numbers of the others
			}
			config.Peers = append(config.Peers, string(text))
		}
	}
	config.SeedText = r.text("seed")
	var err error
	if config.Seed, err = strconv.ParseUint(config.SeedText, 16, 64); err != nil {
		if config.SeedText != "" {
			r.warn("/seed", "%q is not hexadecimal, replaced by a random seed", config.SeedText)
		}
		config.Seed = newSeed(config.Name)
	}
	if known := jsonfield.Get(r.value, "known"); known != nil {
		if config.KnownList, err = discovery.ParseList(known); err != nil {
			r.warn("/known", "%v; dropped", err)
			config.KnownList = discovery.ListUpdate{}
		}
	}
}

// newSeed returns a seed that differs between routers and between starts, for a configuration without one.
func newSeed(name string) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, name, os.Getpid(), time.Now().UnixNano())
	return h.Sum64()
}

func (r *configReader) readLimits() {
	config := r.config
	config.Cores, config.Memory, config.Descriptors = defaultCores, defaultMemoryMB*bytesPerMB, defaultDescriptors
	limits := jsonfield.Get(r.value, "limits")
	if limits == nil {
		return
	}
	if limits.Type() != fastjson.TypeObject {
		r.warn("/limits", "want an object, have %s, read as empty", limits.Type())
		return
	}
	number := func(key string, defaultValue, maximum float64) float64 {
		v := jsonfield.Get(limits, key)
		if v == nil {
			return defaultValue
		}
		x, err := v.Float64()
		if err != nil || !(x > 0 && x < math.MaxFloat64) {
			r.warn("/limits/"+key, "want a number over 0, have %s, read as %v", v, defaultValue)
			return defaultValue
		}
		return min(x, maximum)
	}
	config.Cores = number("cores", defaultCores, 1<<10)
	config.Memory = int64(number("memory_mb", defaultMemoryMB, maxMemoryMB) * bytesPerMB)
	config.Descriptors = max(1, int(number("sockets", defaultDescriptors, 1<<20)))
}

func (r *configReader) readSettings() {
	config, section := r.config, jsonfield.Object(r.value, "settings")
	parsed, warnings := settings.Parse(section)
	config.PlatformSettings = parsed
	for _, w := range warnings {
		r.warn("/settings"+w.Pointer, "%s", w.Reason)
	}
	discovery.SetListTimeouts(&config.PlatformSettings.Settings)
	config.Zone = config.PlatformSettings.HomeZone
	config.RawSettings = map[string]string{}
	section.GetObject().Visit(func(key []byte, member *fastjson.Value) { config.RawSettings[string(key)] = member.String() })
}

// errorLocation returns where the cause of an error lies: a file, or a member of the configuration file.
func errorLocation(err error, env func(string) string) string {
	var path *fs.PathError
	if errors.As(err, &path) {
		return path.Path
	}
	if member, _, found := strings.Cut(err.Error(), ":"); found && !strings.ContainsAny(member, " /") {
		return env("ROUTER_CONFIG") + " " + member
	}
	return env("ROUTER_CONFIG")
}

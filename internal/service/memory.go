package service

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
)

// How memory is divided. The limit of the platform counts all resident pages of the process, also those that the Go
// runtime does not count: of the program's file and of libraries, and what the C library allocates.
const (
	heapShare       = 0.8     // of the memory, as the runtime's memory limit at most
	leastHeapShare  = 0.3     // of the memory, whatever the program's pages take
	cLibraryMemory  = 1 << 20 // bytes that the C library and its threads take
	usualFilePages  = 10 << 20
	mappingsOfSelf  = "/proc/self/maps"
	fieldsOfMapping = 6 // of a line about a mapping that has a path
)

// limitRuntime limits the Go runtime to the configured cores and memory, and returns the size of the heap in bytes.
func limitRuntime(config *Config) (heap int64) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Cores))))
	heap = heapSize(config.Memory, filePages())
	debug.SetMemoryLimit(heap)
	return heap
}

// heapSize returns the runtime's memory limit for a process that may take so many bytes, of which its file pages take some.
func heapSize(memory, filePages int64) int64 {
	largest := int64(heapShare * float64(memory))
	least := int64(leastHeapShare * float64(memory))
	return max(least, min(largest, memory-filePages-cLibraryMemory))
}

// filePages returns how many bytes the process has mapped from files, all of which may become resident.
func filePages() (bytes int64) {
	mappings, err := os.ReadFile(mappingsOfSelf)
	if err != nil {
		return usualFilePages
	}
	for line := range strings.Lines(string(mappings)) {
		bytes += sizeOfFileMapping(line)
	}
	return bytes
}

// sizeOfFileMapping returns the size of the mapping that a line describes, or 0 if it is not of a file or not readable.
func sizeOfFileMapping(line string) int64 {
	fields := strings.Fields(line)
	if len(fields) < fieldsOfMapping || !strings.HasPrefix(fields[5], "/") || !strings.HasPrefix(fields[1], "r") {
		return 0
	}
	from, to, _ := strings.Cut(fields[0], "-")
	start, errStart := strconv.ParseUint(from, 16, 64)
	end, errEnd := strconv.ParseUint(to, 16, 64)
	if errStart != nil || errEnd != nil || end < start {
		return 0
	}
	return int64(end - start)
}

package service

import "testing"

// With little memory the program's own pages take a large part of it, which the heap may not have: at 32 MB the process went
// over its limit (docs/incidents/pages-of-the-program.md).
func TestHeapLeavesRoomForThePagesOfTheProgram(t *testing.T) {
	const megabyte = 1_000_000
	for _, test := range []struct{ memory, filePages, want int64 }{
		{192 * megabyte, 10 * megabyte, 153_600_000},
		{64 * megabyte, 10 * megabyte, 51_200_000},
		{32 * megabyte, 10 * megabyte, 22*megabyte - cLibraryMemory},
		{8 * megabyte, 10 * megabyte, 2_400_000},
	} {
		if got := heapSize(test.memory, test.filePages); got != test.want {
			t.Errorf("%d bytes, %d of them the program's: heap of %d, want %d", test.memory, test.filePages, got, test.want)
		}
	}
}

func TestFilePagesOfMappings(t *testing.T) {
	for line, want := range map[string]int64{
		"00400000-00c04000 r-xp 00000000 fe:00 123 /opt/sedgestream": 0x804000,
		"ffff0000-ffff1000 rw-p 00000000 00:00 0 [stack]":            0,
		"ffff0000-ffff1000 ---p 00000000 fe:00 7 /usr/lib/libc.so.6": 0,
		"c000000000-c000400000 rw-p 00000000 00:00 0":                0,
		"no mapping": 0,
	} {
		if got := sizeOfFileMapping(line); got != want {
			t.Errorf("%q: %d bytes, want %d", line, got, want)
		}
	}
	if pages := filePages(); pages < 1<<20 {
		t.Errorf("the process has mapped %d bytes of files", pages)
	}
}

package ring

import "sync"

// This file recycles the buffers that grow beyond their initial size. Large values come and go hundreds of times a second; if
// each took new memory, a process of little memory would spend its time on garbage collection and go over its limit meanwhile.

// recycledSizes are the sizes in bytes of the buffers that are recycled, ascending. The last is for the longest query, and the
// one after 64 KB for the longest value with the messages around it.
var recycledSizes = [...]int{8 << 10, 16 << 10, 32 << 10, 64 << 10, 72 << 10, 104 << 10, 136 << 10}

// recycled are the buffers of each size that are not in use. The garbage collector frees what is not used for a while.
var recycled [len(recycledSizes)]sync.Pool

// allocate returns a buffer of so many bytes, whose content is arbitrary.
func allocate(size int) []byte {
	if size <= InitialSize {
		return make([]byte, size)
	}
	for i, capacity := range recycledSizes {
		if size > capacity {
			continue
		}
		if buffer, ok := recycled[i].Get().(*[]byte); ok {
			return (*buffer)[:size]
		}
		return make([]byte, size, capacity)
	}
	return make([]byte, size)
}

// recycle takes a buffer that allocate returned and that nobody refers to any more.
func recycle(buffer []byte) {
	for i, capacity := range recycledSizes {
		if cap(buffer) == capacity {
			recycled[i].Put(&buffer)
			return
		}
	}
}

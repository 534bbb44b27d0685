package platform

import (
	"slices"
	"sort"
)

// blockSize is the maximum number of keys in a block of the index. An insertion
// moves at most one block and the list of blocks, which keeps tables with
// hundreds of thousands of rows fast.
const blockSize = 512

// keyIndex is a sorted set of keys, stored as a list of sorted blocks.
type keyIndex struct {
	blocks [][]string
}

// blockOf returns the index of the block that contains key or would contain it.
func (x *keyIndex) blockOf(key string) int {
	i := sort.Search(len(x.blocks), func(i int) bool { return x.blocks[i][0] > key })
	return max(i-1, 0)
}

// insert adds a key that is not in the set.
func (x *keyIndex) insert(key string) {
	if len(x.blocks) == 0 {
		x.blocks = [][]string{{key}}
		return
	}
	b := x.blockOf(key)
	pos, _ := slices.BinarySearch(x.blocks[b], key)
	x.blocks[b] = slices.Insert(x.blocks[b], pos, key)
	if len(x.blocks[b]) > blockSize {
		half := slices.Clone(x.blocks[b][blockSize/2:])
		x.blocks[b] = x.blocks[b][:blockSize/2]
		x.blocks = slices.Insert(x.blocks, b+1, half)
	}
}

func (x *keyIndex) remove(key string) {
	if len(x.blocks) == 0 {
		return
	}
	b := x.blockOf(key)
	pos, ok := slices.BinarySearch(x.blocks[b], key)
	if !ok {
		return
	}
	x.blocks[b] = slices.Delete(x.blocks[b], pos, pos+1)
	if len(x.blocks[b]) == 0 {
		x.blocks = slices.Delete(x.blocks, b, b+1)
	}
}

// ascend calls visit with the keys from start on, in ascending order, until
// visit returns false.
func (x *keyIndex) ascend(start string, visit func(key string) bool) {
	for b := x.blockOf(start); b < len(x.blocks); b++ {
		pos, _ := slices.BinarySearch(x.blocks[b], start)
		for _, key := range x.blocks[b][pos:] {
			if !visit(key) {
				return
			}
		}
	}
}

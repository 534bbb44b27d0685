package platform

import (
	"slices"
	"sort"
)

// Keys in one block of the index. Inserting moves at most one block and the
// list of blocks, so that tables of some hundred thousand rows stay fast.
const blockSize = 512

// keyIndex is a sorted set of keys: a list of sorted blocks.
type keyIndex struct {
	blocks [][]string
}

// find returns the block in which key is or belongs.
func (x *keyIndex) find(key string) int {
	i := sort.Search(len(x.blocks), func(i int) bool { return x.blocks[i][0] > key })
	return max(i-1, 0)
}

// insert adds a key that is not in the set.
func (x *keyIndex) insert(key string) {
	if len(x.blocks) == 0 {
		x.blocks = [][]string{{key}}
		return
	}
	b := x.find(key)
	at, _ := slices.BinarySearch(x.blocks[b], key)
	x.blocks[b] = slices.Insert(x.blocks[b], at, key)
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
	b := x.find(key)
	at, ok := slices.BinarySearch(x.blocks[b], key)
	if !ok {
		return
	}
	x.blocks[b] = slices.Delete(x.blocks[b], at, at+1)
	if len(x.blocks[b]) == 0 {
		x.blocks = slices.Delete(x.blocks, b, b+1)
	}
}

// ascend calls visit with the keys from start on, in order, until it returns
// false.
func (x *keyIndex) ascend(start string, visit func(key string) bool) {
	for b := x.find(start); b < len(x.blocks); b++ {
		at, _ := slices.BinarySearch(x.blocks[b], start)
		for _, key := range x.blocks[b][at:] {
			if !visit(key) {
				return
			}
		}
	}
}

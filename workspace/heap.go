package workspace

// notInHeap is the index of an item that is in no heap.
const notInHeap = -1

// indexedHeap is a binary heap whose items store their index, so that any item can be
// removed or moved in logarithmic time.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(item T) *int
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

// top returns the smallest item, or the zero value if the heap is empty.
func (h *indexedHeap[T]) top() (item T) {
	if len(h.items) > 0 {
		item = h.items[0]
	}
	return item
}

// put adds the item, or restores its position after its key has changed.
func (h *indexedHeap[T]) put(item T) {
	at := *h.index(item)
	if at == notInHeap {
		at = len(h.items)
		h.items = append(h.items, item)
		*h.index(item) = at
	}
	if !h.siftDown(at) {
		h.siftUp(at)
	}
}

// remove removes the item; it does nothing if the item is not in the heap.
func (h *indexedHeap[T]) remove(item T) {
	at := *h.index(item)
	if at == notInHeap {
		return
	}
	last := len(h.items) - 1
	h.swap(at, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(item) = notInHeap
	if at < last && !h.siftDown(at) {
		h.siftUp(at)
	}
}

// rebuild restores the heap order after many keys have changed.
func (h *indexedHeap[T]) rebuild() {
	for at := len(h.items)/2 - 1; at >= 0; at-- {
		h.siftDown(at)
	}
}

func (h *indexedHeap[T]) siftUp(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !h.less(h.items[at], h.items[parent]) {
			return
		}
		h.swap(at, parent)
		at = parent
	}
}

// siftDown reports whether the item moved.
func (h *indexedHeap[T]) siftDown(at int) bool {
	from := at
	for {
		child := 2*at + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[at]) {
			break
		}
		h.swap(at, child)
		at = child
	}
	return at > from
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

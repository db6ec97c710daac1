package fairqueue

// element is an element of a heap, which keeps its own position in it.
type element[E any] interface {
	before(E) bool
	setPosition(int)
}

// outside is the position of an element that is in no heap.
const outside = -1

// heap is a binary heap whose elements can be removed from any position.
type heap[E element[E]] []E

func (h *heap[E]) push(e E) {
	*h = append(*h, e)
	e.setPosition(len(*h) - 1)
	h.up(len(*h) - 1)
}

// remove removes the element at position i.
func (h *heap[E]) remove(i int) E {
	s := *h
	last := len(s) - 1
	s.swap(i, last)
	e := s[last]
	var none E
	s[last] = none
	*h = s[:last]
	if i < last {
		h.fix(i)
	}
	e.setPosition(outside)
	return e
}

// fix restores the order after a change of the element at position i.
func (h *heap[E]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h heap[E]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h[i].before(h[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h heap[E]) down(i int) (moved bool) {
	for {
		least := 2*i + 1
		if least >= len(h) {
			return moved
		}
		if right := least + 1; right < len(h) && h[right].before(h[least]) {
			least = right
		}
		if !h[least].before(h[i]) {
			return moved
		}
		h.swap(i, least)
		i, moved = least, true
	}
}

func (h heap[E]) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setPosition(i)
	h[j].setPosition(j)
}

package queuer

// link is the place of an element in a list.
type link[T any] struct {
	prev, next *link[T]
	value      T
}

// list is a doubly linked list; the zero value is empty, and all operations cost O(1).
type list[T any] struct {
	head, tail *link[T]
}

func (l *list[T]) pushBack(e *link[T]) {
	e.prev, e.next = l.tail, nil
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
}

func (l *list[T]) remove(e *link[T]) {
	if e.prev == nil {
		l.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
}

func (l *list[T]) moveToBack(e *link[T]) {
	if l.tail != e {
		l.remove(e)
		l.pushBack(e)
	}
}

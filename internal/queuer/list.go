package queuer

// listNode links a value into a list. It is stored in a field of that value, so that adding a value allocates nothing.
type listNode[T any] struct {
	prev, next *listNode[T]
	value      T
}

// list is an intrusive doubly linked list. The zero value is an empty list, and all operations take O(1).
type list[T any] struct {
	head, tail *listNode[T]
}

func (l *list[T]) pushBack(e *listNode[T]) {
	e.prev, e.next = l.tail, nil
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
}

func (l *list[T]) remove(e *listNode[T]) {
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

func (l *list[T]) moveToBack(e *listNode[T]) {
	if l.tail != e {
		l.remove(e)
		l.pushBack(e)
	}
}

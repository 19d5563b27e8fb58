package pipeline

import "container/list"

// connections holds the open connections of a server, in the order in which they may be closed for
// others. Server.mu guards it.
type connections struct {
	all map[*conn]*place
	// unused has the connections without an answered request, the oldest first. used has the others,
	// the one whose last request was answered first at the front.
	unused, used list.List
}

// place is the position of a connection in one of the lists.
type place struct {
	list    *list.List
	element *list.Element
}

func (s *connections) add(c *conn) {
	if s.all == nil {
		s.all = make(map[*conn]*place)
	}
	s.all[c] = &place{&s.unused, s.unused.PushBack(c)}
}

func (s *connections) remove(c *conn) {
	if p, ok := s.all[c]; ok {
		p.list.Remove(p.element)
		delete(s.all, c)
	}
}

// touch records that a request of a connection was answered.
func (s *connections) touch(c *conn) {
	if p, ok := s.all[c]; ok {
		p.list.Remove(p.element)
		p.list, p.element = &s.used, s.used.PushBack(c)
	}
}

// evict closes and removes the connection that needs its place least, or returns nil if there is a
// request in progress on all. Connections that never had a request go first: a caller sends one right
// after it has connected. Next are idle ones, which callers expect to be closed at times, and then
// those on which the body of a request is still arriving, so that it hasn't run.
func (s *connections) evict() *conn {
	for _, mayClose := range []func(*conn) bool{(*conn).closeUnlessBusy, (*conn).closeUnlessRunning} {
		for _, l := range []*list.List{&s.unused, &s.used} {
			for e := l.Front(); e != nil; e = e.Next() {
				if c := e.Value.(*conn); mayClose(c) {
					s.remove(c)
					return c
				}
			}
		}
	}
	return nil
}

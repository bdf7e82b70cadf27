package board

// State holds state that only the control thread uses and that is too large to
// copy on each change. The zero State holds the zero value of T.
type State[T any] struct {
	refBase
	value T
}

// Read returns the state, which must not be modified through the pointer.
func (s *State[T]) Read() *T {
	s.board.checkRead(s)
	return &s.value
}

// Change returns the state for modification and triggers the controllers that
// read it.
func (s *State[T]) Change() *T {
	s.board.checkWrite(s)
	s.rev++
	return &s.value
}

package btpeer

// Undelivered returns the number of forwarded requests that are running or whose
// response the forwarding node has not received completely.
func (s *Server) Undelivered() int { return int(s.undelivered.Load()) }

// deliverForward serves one forwarded request and returns when the forwarding node has
// received the response. That node ends the call then; gRPC itself counts a call as
// finished while its response still waits for a slow link.
func (s *Server) deliverForward(stream *Stream[RequestFrame, ResponseFrame]) error {
	s.undelivered.Add(1)
	defer s.undelivered.Add(-1)
	if err := s.forward(stream); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

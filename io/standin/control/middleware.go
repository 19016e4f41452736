package control

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"
)

// withFaults shows the faults of single requests around handler. The request
// counts as work that Close waits for.
func (s *Server) withFaults(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.begin() {
			panic(http.ErrAbortHandler)
		}
		defer s.work.Done()
		request := RequestOf(r)
		if f, hit := s.Faults.Take(Delay, request); hit {
			s.Sleep(f.Delay())
		}
		if _, hit := s.Faults.Take(NeverAnswer, request); hit {
			s.waitForCaller(r)
		}
		if _, hit := s.Faults.Take(FailBefore, request); hit {
			panic(http.ErrAbortHandler)
		}
		if f, hit := s.Faults.Take(FailDuring, request); hit {
			s.failDuring(handler, r, f)
		}
		if _, hit := s.Faults.Take(DropAnswer, request); hit {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		if f, hit := s.Faults.Take(LateAnswer, request); hit {
			s.answerLate(handler, w, r, f)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// Sleep waits for d, or until the server is closed.
func (s *Server) Sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.Done():
	}
}

// waitForCaller waits until the caller is gone, then ends the connection.
func (s *Server) waitForCaller(r *http.Request) {
	s.WaitUntilGone(r)
	panic(http.ErrAbortHandler)
}

// WaitUntilGone waits until the caller of r is gone or the server is closed.
func (s *Server) WaitUntilGone(r *http.Request) {
	// The HTTP server notices a closed connection only after the whole body
	// was read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-s.Done():
	}
}

// failDuring lets the request run on after its connection was cut.
func (s *Server) failDuring(handler http.Handler, r *http.Request, f Fault) {
	detached := r.Clone(context.WithoutCancel(r.Context()))
	detached.Body = readAll(r)
	s.Go(func(context.Context) {
		handler.ServeHTTP(httptest.NewRecorder(), detached)
	})
	s.Sleep(f.Delay())
	panic(http.ErrAbortHandler)
}

// answerLate keeps the whole answer back for the delay of the fault.
func (s *Server) answerLate(handler http.Handler, w http.ResponseWriter, r *http.Request, f Fault) {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	s.Sleep(f.Delay())
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

// readAll returns the whole body of r, so that it can be read after r ended.
func readAll(r *http.Request) io.ReadCloser {
	body, _ := io.ReadAll(r.Body)
	return io.NopCloser(bytes.NewReader(body))
}

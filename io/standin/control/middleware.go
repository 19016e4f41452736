package control

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"
)

// withFaults wraps handler so that the injected request faults take effect. Close
// waits for every request that it serves.
func (s *Server) withFaults(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.beginTask() {
			panic(http.ErrAbortHandler)
		}
		defer s.tasks.Done()
		request := NewRequestInfo(r)
		if f, hit := s.Faults.Trigger(Delay, request); hit {
			s.Sleep(f.Delay())
		}
		if _, hit := s.Faults.Trigger(NeverAnswer, request); hit {
			s.abortAfterDisconnect(r)
		}
		if _, hit := s.Faults.Trigger(FailBefore, request); hit {
			panic(http.ErrAbortHandler)
		}
		if f, hit := s.Faults.Trigger(FailDuring, request); hit {
			s.abortDuringRequest(handler, r, f)
		}
		if _, hit := s.Faults.Trigger(DropAnswer, request); hit {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		if _, hit := s.Faults.Trigger(MalformHead, request); hit {
			s.malformResponse(handler, w, r)
			return
		}
		if f, hit := s.Faults.Trigger(LateAnswer, request); hit {
			s.delayResponse(handler, w, r, f)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// Sleep waits for d or until the server is closed.
func (s *Server) Sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.Done():
	}
}

// abortAfterDisconnect waits until the client disconnects, then aborts the handler
// without a response.
func (s *Server) abortAfterDisconnect(r *http.Request) {
	s.WaitForDisconnect(r)
	panic(http.ErrAbortHandler)
}

// WaitForDisconnect waits until the client of r disconnects or the server is
// closed.
func (s *Server) WaitForDisconnect(r *http.Request) {
	// net/http detects a closed connection only after the whole request body
	// has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-s.Done():
	}
}

// abortDuringRequest starts the request in the background and closes its
// connection after the delay of the fault. The request runs to completion.
func (s *Server) abortDuringRequest(handler http.Handler, r *http.Request, f Fault) {
	detached := r.Clone(context.WithoutCancel(r.Context()))
	detached.Body = bufferBody(r)
	s.Go(func(context.Context) {
		handler.ServeHTTP(httptest.NewRecorder(), detached)
	})
	s.Sleep(f.Delay())
	panic(http.ErrAbortHandler)
}

// delayResponse processes the request and sends the whole response after the delay
// of the fault.
func (s *Server) delayResponse(handler http.Handler, w http.ResponseWriter, r *http.Request, f Fault) {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	s.Sleep(f.Delay())
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

// bufferBody reads the whole body of r into memory, since it can't be read after
// the handler of r has returned.
func bufferBody(r *http.Request) io.ReadCloser {
	body, _ := io.ReadAll(r.Body)
	return io.NopCloser(bytes.NewReader(body))
}

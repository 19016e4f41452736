package service

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"monsoonfork/io/standin/control"
)

// BookingRequest is the body of POST /bookings and POST /orders.
type BookingRequest struct {
	Reference string `json:"reference"` // Chosen by the caller, to count runs.
	Client    string `json:"client,omitempty"`
	Slot      string `json:"slot,omitempty"`
	Items     int    `json:"items,omitempty"`
}

// Booking is a booking or an order that was made.
type Booking struct {
	ID        string `json:"id"`
	Reference string `json:"reference"`
	Client    string `json:"client,omitempty"`
	Slot      string `json:"slot,omitempty"`
	Items     int    `json:"items,omitempty"`
	Cancelled bool   `json:"cancelled"`
	ServedBy  string `json:"served_by"`
}

// StatusAnswer is the answer to GET /status.
type StatusAnswer struct {
	Status   string `json:"status"`
	Bookings int    `json:"bookings"`
	ServedBy string `json:"served_by"`
}

// AddressAnswer is the answer to GET /addresses/{id}.
type AddressAnswer struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	ServedBy string `json:"served_by"`
}

// ErrorAnswer is the body of an error.
type ErrorAnswer struct {
	Error string `json:"error"`
}

// handleCreate serves POST /bookings and POST /orders. Each run makes another
// booking, also for the same reference.
func (s *Service) handleCreate(w http.ResponseWriter, r *http.Request) {
	var request BookingRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		control.WriteJSON(w, http.StatusBadRequest, ErrorAnswer{Error: err.Error()})
		return
	}
	var made Booking
	s.run(r, request.Reference, func() {
		made = Booking{
			ID:        s.name + "-" + strconv.Itoa(len(s.bookings)+1),
			Reference: request.Reference,
			Client:    request.Client,
			Slot:      request.Slot,
			Items:     request.Items,
			ServedBy:  s.name,
		}
		s.bookings[made.ID] = made
	})
	control.WriteJSON(w, http.StatusCreated, made)
}

// handleCancel serves DELETE /bookings/{id}. A booking that is not known here
// counts as cancelled too, since several endpoints share no data.
func (s *Service) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	var cancelled Booking
	s.run(r, id, func() {
		cancelled = s.bookings[id]
		cancelled.ID = id
		cancelled.Cancelled = true
		cancelled.ServedBy = s.name
		s.bookings[id] = cancelled
	})
	control.WriteJSON(w, http.StatusOK, cancelled)
}

// handleStatus serves GET /status.
func (s *Service) handleStatus(w http.ResponseWriter, r *http.Request) {
	answer := StatusAnswer{Status: "ok", ServedBy: s.name}
	s.run(r, "", func() { answer.Bookings = len(s.bookings) })
	control.WriteJSON(w, http.StatusOK, answer)
}

// handleAddress serves GET /addresses/{id}.
func (s *Service) handleAddress(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.run(r, id, func() {})
	control.WriteJSON(w, http.StatusOK, AddressAnswer{
		ID:       id,
		Address:  fmt.Sprintf("%s, Tuinstraat 1", id),
		ServedBy: s.name,
	})
}

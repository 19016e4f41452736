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
	Reference string `json:"reference"` // Chosen by the client; Record.ByReference counts runs by it.
	Client    string `json:"client,omitempty"`
	Slot      string `json:"slot,omitempty"`
	Items     int    `json:"items,omitempty"`
}

// Booking is a stored booking or order.
type Booking struct {
	ID        string `json:"id"`
	Reference string `json:"reference"`
	Client    string `json:"client,omitempty"`
	Slot      string `json:"slot,omitempty"`
	Items     int    `json:"items,omitempty"`
	Cancelled bool   `json:"cancelled"`
	ServedBy  string `json:"served_by"`
}

// StatusResponse is the response to GET /status.
type StatusResponse struct {
	Status   string `json:"status"`
	Bookings int    `json:"bookings"`
	ServedBy string `json:"served_by"`
}

// AddressResponse is the response to GET /addresses/{id}.
type AddressResponse struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	ServedBy string `json:"served_by"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// handleCreate serves POST /bookings and POST /orders. Each run creates a new
// booking, even for a reference that was used before.
func (s *Service) handleCreate(w http.ResponseWriter, r *http.Request) {
	var request BookingRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		control.WriteJSON(w, http.StatusBadRequest, ErrorResponse{Error: err.Error()})
		return
	}
	var created Booking
	s.execute(r, request.Reference, func() {
		created = Booking{
			ID:        s.name + "-" + strconv.Itoa(len(s.bookings)+1),
			Reference: request.Reference,
			Client:    request.Client,
			Slot:      request.Slot,
			Items:     request.Items,
			ServedBy:  s.name,
		}
		s.bookings[created.ID] = created
	})
	control.WriteJSON(w, http.StatusCreated, created)
}

// handleCancel serves DELETE /bookings/{id}. An unknown id is stored as a cancelled
// booking, since it may have been created at another endpoint and endpoints share
// no data.
func (s *Service) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	var cancelled Booking
	s.execute(r, id, func() {
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
	response := StatusResponse{Status: "ok", ServedBy: s.name}
	s.execute(r, "", func() { response.Bookings = len(s.bookings) })
	control.WriteJSON(w, http.StatusOK, response)
}

// handleAddress serves GET /addresses/{id}.
func (s *Service) handleAddress(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.execute(r, id, func() {})
	control.WriteJSON(w, http.StatusOK, AddressResponse{
		ID:       id,
		Address:  fmt.Sprintf("%s, Tuinstraat 1", id),
		ServedBy: s.name,
	})
}

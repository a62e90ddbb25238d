// Package cloud is a client for the API of the cloud that rents out machines.
package cloud

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"woadweir/internal/core/model"
	"woadweir/internal/jsoncodec"
	"woadweir/internal/jsonhttp"
)

// Errors that the cloud reports.
var (
	ErrNoCapacity  = errors.New("cloud: no capacity")
	ErrUnavailable = errors.New("cloud: service unavailable (status 503)")
	ErrBusy        = errors.New("cloud: too many requests")
)

// StatusError is an HTTP status that the cloud's protocol does not define.
type StatusError struct{ Code int }

// Error returns a text with the status.
func (e *StatusError) Error() string { return fmt.Sprintf("cloud: unexpected status %d", e.Code) }

const (
	// maxConnections is the maximum number of connections of a client.
	maxConnections = 8
	// pageSize is the maximum number of machines in a page of the machine list.
	pageSize = 500
	// noCapacityText is the error text in a response with status 503 if the cloud has no
	// more machines of the requested type.
	noCapacityText = "no capacity"
)

// Client makes requests to the cloud.
type Client struct{ http *jsonhttp.Client }

// NewClient returns a client for an address.
func NewClient(address string) *Client { return &Client{jsonhttp.New(address, maxConnections)} }

// The JSON names below are those of the cloud's protocol: a host is a machine and a ref
// its ID, a build or flavor is a machine type, a yard is a zone, loaners are spot
// machines, and a hire is the ID of a rental request.

// Machine is an entry of the machine list.
type Machine struct {
	ID          string  `json:"ref"`
	Address     string  `json:"address"`
	MachineType string  `json:"build"`
	Zone        string  `json:"yard"`
	Spot        bool    `json:"loaners"`
	Status      string  `json:"status"`
	HeldS       float64 `json:"heldS"` // how long the machine has been rented, in seconds
}

// Rental is a request for machines. The request ID makes it idempotent: repeating a request
// that succeeded gets the same response and rents nothing more, so a request that got no
// response may be retried with the same ID.
type Rental struct {
	RequestID   string `json:"hire"`
	MachineType string `json:"build"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"count"`
}

// machineIDs is the body of a deletion, and of the response to a rental.
type machineIDs struct {
	IDs []string `json:"hosts"`
}

// machinePage is one page of the machine list.
type machinePage struct {
	Machines []Machine `json:"hosts"`
	HasNext  bool      `json:"hasNext"`
}

type machineTypeList struct {
	MachineTypes []model.MachineType `json:"builds"`
}

type errorBody struct {
	Error string `json:"error"`
}

// do makes a request and decodes the response's body into out, if out is not nil.
func (c *Client) do(method, uri string, in, out any, timeout model.Micros) error {
	return c.http.Do(method, uri, in, timeout, func(code int, body []byte) error {
		switch code {
		case http.StatusOK:
		case http.StatusTooManyRequests:
			return ErrBusy
		case http.StatusServiceUnavailable:
			return unavailable(body)
		default:
			return &StatusError{code}
		}
		if out == nil {
			return nil
		}
		return jsoncodec.Unmarshal(body, out)
	})
}

// unavailable returns the error for a response with status 503.
func unavailable(body []byte) error {
	var reason errorBody
	if jsoncodec.Unmarshal(body, &reason) == nil && reason.Error == noCapacityText {
		return ErrNoCapacity
	}
	return ErrUnavailable
}

// MachineTypes returns the machine types with their current prices.
func (c *Client) MachineTypes(timeout model.Micros) ([]model.MachineType, error) {
	var list machineTypeList
	err := c.do(http.MethodGet, "/flavors", nil, &list, timeout)
	return list.MachineTypes, err
}

// Rent rents machines and returns their IDs.
func (c *Client) Rent(rental *Rental, timeout model.Micros) ([]string, error) {
	var rented machineIDs
	err := c.do(http.MethodPost, "/rentals", rental, &rented, timeout)
	return rented.IDs, err
}

// Delete returns machines to the cloud. After a nil error they are gone.
func (c *Client) Delete(ids []string, timeout model.Micros) error {
	return c.do(http.MethodPost, "/rentals/delete", machineIDs{ids}, nil, timeout)
}

// List returns the whole machine list, which it reads page by page.
func (c *Client) List(timeout model.Micros) ([]Machine, error) {
	var machines []Machine
	after := ""
	for {
		page, err := c.listPage(after, timeout)
		if err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.HasNext || len(page.Machines) == 0 {
			return machines, nil
		}
		after = page.Machines[len(page.Machines)-1].ID
	}
}

// listPage returns the page of the machine list that follows the machine with ID after, or
// the first page if after is "".
func (c *Client) listPage(after string, timeout model.Micros) (*machinePage, error) {
	uri := "/rentals?most=" + strconv.Itoa(pageSize)
	if after != "" {
		uri += "&from=" + url.QueryEscape(after)
	}
	var page machinePage
	if err := c.do(http.MethodGet, uri, nil, &page, timeout); err != nil {
		return nil, err
	}
	return &page, nil
}

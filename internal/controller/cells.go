package controller

import (
	"context"
	"encoding/json"
	"time"

	"woadweir/internal/cellrpc"
	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// cellCalls sends the controller actor's calls to other cells. Every answer comes back as a
// message.
type cellCalls interface {
	offer(m msgOffered)
	renew(m msgRenewed)
}

// Messages about jobs that are lent between cells.
type (
	// msgOffered is the outcome of an offer to another cell.
	msgOffered struct {
		cell, job string
		offer     *spill.Offer
		answer    *spill.OfferAnswer
		err       error
		sentAt    model.Micros
		token     uint64 // the leader's fencing token
	}
	// msgRenewed is the outcome of a renewal that was sent to a home cell.
	msgRenewed struct {
		home    string
		renewal *spill.Renewal
		answer  *spill.RenewalAnswer
		err     error
		sentAt  model.Micros
		token   uint64 // the leader's fencing token
	}
	// msgOffer and msgRenewal are calls from other cells.
	msgOffer struct {
		offer *spill.Offer
		reply chan<- offerReply
	}
	msgRenewal struct {
		renewal *spill.Renewal
		reply   chan<- renewalReply
	}
)

type offerReply struct {
	answer *spill.OfferAnswer
	err    error
}

type renewalReply struct {
	answer *spill.RenewalAnswer
	err    error
}

// cellCallTimeout is how long a call to another cell may take.
const cellCallTimeout = 2 * time.Second

// cellIO sends calls to other cells, each in a goroutine of its own.
type cellIO struct {
	io      *asyncEffects
	clients map[string]*cellrpc.Client
}

func newCellIO(io *asyncEffects, policy *spill.Policy) (*cellIO, error) {
	cells := &cellIO{io: io, clients: map[string]*cellrpc.Client{}}
	for i := range policy.Neighbours {
		neighbour := &policy.Neighbours[i]
		client, err := cellrpc.Dial(neighbour.Cell, neighbour.Controllers)
		if err != nil {
			return nil, err
		}
		cells.clients[neighbour.Cell] = client
	}
	return cells, nil
}

func (c *cellIO) offer(m msgOffered) {
	go func() {
		ctx, cancel := context.WithTimeout(c.io.ctx, cellCallTimeout)
		defer cancel()
		m.err = spill.ErrUnreachable
		if client := c.clients[m.cell]; client != nil {
			var spec []byte
			if spec, m.err = json.Marshal(m.offer.Spec); m.err == nil {
				m.answer, m.err = client.Offer(ctx, m.offer, spec)
			}
		}
		c.io.send(m)
	}()
}

func (c *cellIO) renew(m msgRenewed) {
	go func() {
		ctx, cancel := context.WithTimeout(c.io.ctx, cellCallTimeout)
		defer cancel()
		m.err = spill.ErrUnreachable
		if client := c.clients[m.home]; client != nil {
			m.answer, m.err = client.Renew(ctx, m.renewal)
		}
		c.io.send(m)
	}()
}

// cellAnswerTimeout is how long a call from another cell may wait for the controller actor.
const cellAnswerTimeout = 700 * time.Millisecond

// Offer answers another cell's offer.
func (f *frontend) Offer(offer *spill.Offer) (*spill.OfferAnswer, error) {
	reply := make(chan offerReply, 1)
	answered, got := ask(f.mailbox, msgOffer{offer, reply}, reply, cellAnswerTimeout)
	if !got {
		return nil, spill.ErrUnreachable
	}
	return answered.answer, answered.err
}

// Renew answers another cell's renewal of its execution leases.
func (f *frontend) Renew(renewal *spill.Renewal) (*spill.RenewalAnswer, error) {
	reply := make(chan renewalReply, 1)
	answered, got := ask(f.mailbox, msgRenewal{renewal, reply}, reply, cellAnswerTimeout)
	if !got {
		return nil, spill.ErrUnreachable
	}
	return answered.answer, answered.err
}

// handleCellMessage handles a message from or about another cell. Only a leader whose
// authority is valid answers other cells.
func (c *controller) handleCellMessage(m any) {
	l := c.leading
	mayAnswer := l != nil && l.ready && c.authority.IsValid(c.now)
	switch m := m.(type) {
	case msgOffer:
		if !mayAnswer {
			m.reply <- offerReply{nil, spill.ErrNotHolder}
			return
		}
		m.reply <- offerReply{l.spill.answerOffer(m.offer), nil}
	case msgRenewal:
		if !mayAnswer {
			m.reply <- renewalReply{nil, spill.ErrNotHolder}
			return
		}
		answer, err := l.spill.answerRenewal(m.renewal)
		m.reply <- renewalReply{answer, err}
	case msgOffered:
		if l != nil && l.ready && l.token == m.token {
			l.spill.offerAnswered(m)
		}
	case msgRenewed:
		if l != nil && l.ready && l.token == m.token {
			l.spill.renewalAnswered(m)
		}
	}
}

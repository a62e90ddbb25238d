// Package cellrpc implements the calls between cells over gRPC. Every message is validated
// against the rules in cell.proto.
package cellrpc

//go:generate ./generate.sh

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"buf.build/go/protovalidate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"woadweir/internal/core/model"
	"woadweir/internal/peer"
	"woadweir/internal/spill"
)

// Handler answers calls of other cells. The error spill.ErrNotHolder means that another
// controller of this cell has to be called.
type Handler interface {
	Offer(offer *spill.Offer) (*spill.OfferAnswer, error)
	Renew(renewal *spill.Renewal) (*spill.RenewalAnswer, error)
}

// sharedValidator returns the validator, which is created when the first message is validated.
var sharedValidator = sync.OnceValues(func() (protovalidate.Validator, error) { return protovalidate.New() })

// validate validates a message. The error names the invalid field.
func validate(message proto.Message) error {
	validator, err := sharedValidator()
	if err != nil {
		return err
	}
	return validator.Validate(message)
}

// server validates calls and passes them to a handler.
type server struct {
	UnimplementedCellServer
	handler Handler
}

// Register registers the service, answered by handler, with a gRPC server.
func Register(registrar grpc.ServiceRegistrar, handler Handler) {
	RegisterCellServer(registrar, &server{handler: handler})
}

func (s *server) Offer(_ context.Context, request *OfferRequest) (*OfferReply, error) {
	if err := validate(request); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	spec, err := model.DecodeSubmission(request.GetSpec())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, "spec: "+err.Error())
	}
	if !model.ValidTaskSet(request.GetDone(), spec.Tasks) {
		return nil, status.Error(codes.InvalidArgument, "done: a task that the job does not have")
	}
	answer, err := s.handler.Offer(&spill.Offer{Home: request.GetHome(), Token: request.GetToken(), Spec: spec, Done: request.GetDone(), Trace: request.GetTrace()})
	if err != nil {
		return nil, toStatus(err)
	}
	return &OfferReply{
		Cell:          answer.Cell,
		Refusal:       string(answer.Refusal),
		Detail:        answer.Detail,
		RetryAfterUs:  int64(answer.RetryAfter),
		WorkerLeaseUs: int64(answer.WorkerLease),
	}, nil
}

func (s *server) Renew(_ context.Context, request *RenewRequest) (*RenewReply, error) {
	if err := validate(request); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	renewal := &spill.Renewal{ExecutionCell: request.GetGuest(), WorkerLease: model.Micros(request.GetWorkerLeaseUs())}
	for _, report := range request.GetJobs() {
		renewal.Jobs = append(renewal.Jobs, spill.JobReport{
			Job:      report.GetJob(),
			Token:    report.GetToken(),
			Returned: report.GetReturned(),
			Complete: report.GetComplete(),
			Running:  int(report.GetRunning()),
			Done:     report.GetDone(),
		})
	}
	answer, err := s.handler.Renew(renewal)
	if err != nil {
		return nil, toStatus(err)
	}
	reply := &RenewReply{Home: answer.Home, AgeUs: int64(answer.Age)}
	for _, verdict := range answer.Jobs {
		reply.Jobs = append(reply.Jobs, &Verdict{
			Job:       verdict.Job,
			Token:     verdict.Token,
			Kind:      Verdict_Kind(verdict.Kind),
			End:       verdict.End,
			Confirmed: verdict.Confirmed,
			LeaseUs:   int64(verdict.Lease),
		})
	}
	return reply, nil
}

// toStatus converts a handler's error to a gRPC status, whose code says whether the
// controller is not the holder.
func toStatus(err error) error {
	if errors.Is(err, spill.ErrNotHolder) {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}

// Client calls one other cell, at the controller that holds the shard.
type Client struct {
	cell         string
	mu           sync.Mutex
	controllers  []CellClient
	lastAnswered int // index of the controller that answered last
}

// Dial returns a client for a cell with controllers at the addresses. It connects when it is
// first used.
func Dial(cell string, addresses []string) (*Client, error) {
	client := &Client{cell: cell}
	for _, address := range addresses {
		conn, err := peer.Connect(address)
		if err != nil {
			return nil, err
		}
		client.controllers = append(client.controllers, NewCellClient(conn))
	}
	return client, nil
}

// controllerTimeout limits a call to one controller.
const controllerTimeout = 800 * time.Millisecond

// call calls the controllers in turn, beginning with the one that answered last, until one
// answers or refuses the message as invalid.
func (c *Client) call(ctx context.Context, invoke func(context.Context, CellClient) error) error {
	c.mu.Lock()
	first := c.lastAnswered
	c.mu.Unlock()
	err := spill.ErrUnreachable
	for i := range c.controllers {
		index := (first + i) % len(c.controllers)
		callCtx, cancel := context.WithTimeout(ctx, controllerTimeout)
		err = invoke(callCtx, c.controllers[index])
		cancel()
		if err == nil {
			c.mu.Lock()
			c.lastAnswered = index
			c.mu.Unlock()
			return nil
		}
		if status.Code(err) == codes.InvalidArgument {
			break
		}
	}
	return fmt.Errorf("%w: %v", spill.ErrUnreachable, err)
}

// checkReply validates a reply, and checks that it comes from the expected cell.
func (c *Client) checkReply(reply proto.Message, cell string) error {
	if err := validate(reply); err != nil {
		return err
	}
	if cell != c.cell {
		return fmt.Errorf("reply comes from cell %q, want cell %q", cell, c.cell)
	}
	return nil
}

// Offer offers a job to the cell.
func (c *Client) Offer(ctx context.Context, offer *spill.Offer, spec []byte) (*spill.OfferAnswer, error) {
	var reply *OfferReply
	err := c.call(ctx, func(ctx context.Context, rpc CellClient) (err error) {
		reply, err = rpc.Offer(ctx, &OfferRequest{Home: offer.Home, Token: offer.Token, Spec: spec, Done: offer.Done, Trace: offer.Trace})
		return err
	})
	if err != nil {
		return nil, err
	}
	if err := c.checkReply(reply, reply.GetCell()); err != nil {
		return nil, err
	}
	return &spill.OfferAnswer{
		Cell:        reply.GetCell(),
		Refusal:     spill.Refusal(reply.GetRefusal()),
		Detail:      reply.GetDetail(),
		RetryAfter:  model.Micros(reply.GetRetryAfterUs()),
		WorkerLease: model.Micros(reply.GetWorkerLeaseUs()),
	}, nil
}

// Renew asks the cell to renew the execution leases of the jobs that it has lent.
func (c *Client) Renew(ctx context.Context, renewal *spill.Renewal) (*spill.RenewalAnswer, error) {
	request := &RenewRequest{Guest: renewal.ExecutionCell, WorkerLeaseUs: int64(renewal.WorkerLease)}
	for _, report := range renewal.Jobs {
		request.Jobs = append(request.Jobs, &JobReport{
			Job:      report.Job,
			Token:    report.Token,
			Returned: report.Returned,
			Complete: report.Complete,
			Running:  uint32(report.Running),
			Done:     report.Done,
		})
	}
	var reply *RenewReply
	err := c.call(ctx, func(ctx context.Context, rpc CellClient) (err error) {
		reply, err = rpc.Renew(ctx, request)
		return err
	})
	if err != nil {
		return nil, err
	}
	if err := c.checkReply(reply, reply.GetHome()); err != nil {
		return nil, err
	}
	answer := &spill.RenewalAnswer{Home: reply.GetHome(), Age: model.Micros(reply.GetAgeUs())}
	for _, verdict := range reply.GetJobs() {
		answer.Jobs = append(answer.Jobs, spill.Verdict{
			Job:       verdict.GetJob(),
			Token:     verdict.GetToken(),
			Kind:      spill.VerdictKind(verdict.GetKind()),
			End:       verdict.GetEnd(),
			Confirmed: verdict.GetConfirmed(),
			Lease:     model.Micros(verdict.GetLeaseUs()),
		})
	}
	return answer, nil
}

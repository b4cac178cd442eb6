package peergrpc

import (
	"time"

	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// requestToMessage encodes the deadline twice: as the time left, from which the receiver computes its deadline, and as
// an absolute time, by which it detects a stale request.
func requestToMessage(r request.Request, now time.Time) *peerv1.Request {
	return &peerv1.Request{
		Id:         r.ID,
		Class:      string(r.Class),
		Method:     r.Method,
		Path:       r.Path,
		Headers:    headersToMessage(r.Headers),
		Body:       r.Body,
		BudgetUs:   r.Deadline.Sub(now).Microseconds(),
		Idempotent: r.Idempotent,

		DeadlineUnixUs: r.Deadline.UnixMicro(),
	}
}

// maxClockSkew bounds the difference between the clocks of two relay hosts. A request that arrives later than this
// after its deadline is stale: its caller has been answered, and a later attempt under the same key may have been
// answered with NotRun since.
const maxClockSkew = 250 * time.Millisecond

// maxTimeBudget bounds the remaining time of a request from a peer. It is the longest deadline that a class can have.
const maxTimeBudget = 24 * time.Hour

// isStale reports whether the deadline of the request passed more than maxClockSkew ago. Requests from hosts that do
// not send the absolute deadline are never stale.
func isStale(m *peerv1.Request, now time.Time) bool {
	return m.GetDeadlineUnixUs() != 0 && now.Sub(time.UnixMicro(m.GetDeadlineUnixUs())) > maxClockSkew
}

func requestFromMessage(m *peerv1.Request, now time.Time) (request.Request, *verdict.Error) {
	if m.GetId() == "" || m.GetClass() == "" || m.GetMethod() == "" {
		return request.Request{}, verdict.New(verdict.NotRun, verdict.CodeInvalid, "peer request has no id, class or method")
	}
	if isStale(m, now) {
		return request.Request{}, verdict.New(verdict.NotRun, verdict.CodeDeadline, "the request arrived after its deadline")
	}
	return request.Request{
		ID:         m.GetId(),
		Class:      ident.ClassName(m.GetClass()),
		Method:     m.GetMethod(),
		Path:       m.GetPath(),
		Headers:    headersFromMessage(m.GetHeaders()),
		Body:       m.GetBody(),
		Deadline:   now.Add(timeBudgetFromMessage(m.GetBudgetUs())),
		Idempotent: m.GetIdempotent(),
	}, nil
}

// timeBudgetFromMessage clamps the remaining time to between 0 and maxTimeBudget, so that an invalid value does not
// overflow.
func timeBudgetFromMessage(us int64) time.Duration {
	return time.Duration(min(max(us, 0), maxTimeBudget.Microseconds())) * time.Microsecond
}

func headersToMessage(headers []request.Header) []*peerv1.Header {
	out := make([]*peerv1.Header, 0, len(headers))
	for _, h := range headers {
		out = append(out, &peerv1.Header{Name: h.Name, Value: h.Value})
	}
	return out
}

func headersFromMessage(headers []*peerv1.Header) []request.Header {
	out := make([]request.Header, 0, len(headers))
	for _, h := range headers {
		out = append(out, request.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return out
}

func answerToMessage(a request.Answer) *peerv1.Answer {
	return &peerv1.Answer{
		Status:  int32(a.Status),
		Headers: headersToMessage(a.Headers),
		Body:    a.Body,
		Target:  string(a.Target),
	}
}

// Bounds of the HTTP status of a final answer. net/http panics on a status that does not have three digits, and sends
// a status below 200 as an interim answer.
const (
	minFinalStatus = 200
	maxFinalStatus = 999
)

func answerFromMessage(m *peerv1.Answer) (request.Answer, *verdict.Error) {
	if status := m.GetStatus(); status < minFinalStatus || status > maxFinalStatus {
		return request.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete, "peer answered with invalid status %d", status)
	}
	return request.Answer{
		Status:  int(m.GetStatus()),
		Headers: headersFromMessage(m.GetHeaders()),
		Body:    m.GetBody(),
		Target:  ident.TargetID(m.GetTarget()),
	}, nil
}

func failureToMessage(err error) *peerv1.Failure {
	e := verdict.FromError(err)
	return &peerv1.Failure{
		Verdict:      e.Verdict.String(),
		Code:         string(e.Code),
		Message:      e.Error(),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// failureFromMessage keeps the verdict of the peer. A verdict that cannot be parsed becomes MayHaveRun.
func failureFromMessage(m *peerv1.Failure) *verdict.Error {
	v, err := verdict.Parse(m.GetVerdict())
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnknown, "failure reported by a peer")
	}
	e := verdict.New(v, verdict.Code(m.GetCode()), "%s", m.GetMessage())
	return e.WithRetryAfter(durationFromMs(m.GetRetryAfterMs()))
}

func replyToMessage(a request.Answer, err error) *peerv1.ExecuteReply {
	if err != nil {
		return &peerv1.ExecuteReply{Result: &peerv1.ExecuteReply_Failure{Failure: failureToMessage(err)}}
	}
	return &peerv1.ExecuteReply{Result: &peerv1.ExecuteReply_Answer{Answer: answerToMessage(a)}}
}

func replyFromMessage(m *peerv1.ExecuteReply) (request.Answer, error) {
	switch result := m.GetResult().(type) {
	case *peerv1.ExecuteReply_Answer:
		answer, invalid := answerFromMessage(result.Answer)
		if invalid != nil {
			return request.Answer{}, invalid
		}
		return answer, nil
	case *peerv1.ExecuteReply_Failure:
		return request.Answer{}, failureFromMessage(result.Failure)
	default:
		return request.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete, "reply of a peer has no result")
	}
}

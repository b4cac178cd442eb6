package peergrpc

import (
	"time"

	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

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

// clockAllowance bounds the difference between the clocks of two relay hosts. A request that arrives later than this after
// its deadline is stale: its caller has long been answered, and may have been told since, of a later attempt under the
// same key, that the request was not run.
const clockAllowance = 250 * time.Millisecond

// maxBudget bounds the time that a peer may give a request: the longest deadline of a class.
const maxBudget = 24 * time.Hour

func stale(m *peerv1.Request, now time.Time) bool {
	return m.GetDeadlineUnixUs() != 0 && now.Sub(time.UnixMicro(m.GetDeadlineUnixUs())) > clockAllowance
}

func requestFromMessage(m *peerv1.Request, now time.Time) (request.Request, *verdict.Error) {
	if m.GetId() == "" || m.GetClass() == "" || m.GetMethod() == "" {
		return request.Request{}, verdict.New(verdict.NotRun, verdict.CodeInvalid, "peer request without id, class or method")
	}
	if stale(m, now) {
		return request.Request{}, verdict.New(verdict.NotRun, verdict.CodeDeadline, "the request arrived after its deadline")
	}
	return request.Request{
		ID:         m.GetId(),
		Class:      ident.ClassName(m.GetClass()),
		Method:     m.GetMethod(),
		Path:       m.GetPath(),
		Headers:    headersFromMessage(m.GetHeaders()),
		Body:       m.GetBody(),
		Deadline:   now.Add(budgetFromMessage(m.GetBudgetUs())),
		Idempotent: m.GetIdempotent(),
	}, nil
}

// budgetFromMessage keeps a wrong budget from overflowing into another one.
func budgetFromMessage(us int64) time.Duration {
	return time.Duration(min(max(us, 0), maxBudget.Microseconds())) * time.Microsecond
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

// The statuses of a final answer. net/http panics on a status outside of three digits, and sends one below 200 as an
// interim answer.
const (
	lowestStatus  = 200
	highestStatus = 999
)

func answerFromMessage(m *peerv1.Answer) (request.Answer, *verdict.Error) {
	if status := m.GetStatus(); status < lowestStatus || status > highestStatus {
		return request.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete, "answer of a peer with status %d", status)
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

func failureFromMessage(m *peerv1.Failure) *verdict.Error {
	v, err := verdict.Parse(m.GetVerdict())
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnknown, "failure of a peer")
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
		return request.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete, "reply of a peer without a result")
	}
}

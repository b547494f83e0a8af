package invariant

import "gingerfork/internal/trace"

// Outcomes of an RPC in the trace. Any other text counts as aborted.
const (
	outcomeOK       = "ok"
	outcomeRejected = "pushed back"
)

// countService adds a finished RPC to the service figures.
func (c *checker) countService(record trace.Record) {
	delete(c.unfinishedRPCs, record.RPCID)
	if record.Method >= len(c.limits.Methods) {
		return
	}
	method, service := c.limits.Methods[record.Method], &c.report.Service
	service.RPCs++
	service.Offered += method.Criticality
	switch record.Text {
	case outcomeOK:
		service.OK++
		if record.Value <= method.SoftDeadline {
			service.InTime += method.Criticality
		} else {
			service.Late++
		}
	case outcomeRejected:
		service.Rejected++
	default:
		service.Aborted++
	}
}

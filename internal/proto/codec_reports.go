package proto

// Smallest sizes of the encoded items of the lists in a Reports, in bytes.
const (
	minUsageReportSize   = 3
	minAttemptReportSize = 11
)

func (m Reports) appendFields(buf []byte) []byte {
	buf = appendNumber(buf, m.Span)
	buf = appendList(buf, m.Usage, appendUsageReport)
	return appendList(buf, m.Attempts, appendAttemptReport)
}

func decodeReports(d *decoder) Message {
	return Reports{
		Span:     d.number(),
		Usage:    decodeList(d, minUsageReportSize, decodeUsageReport),
		Attempts: decodeList(d, minAttemptReportSize, decodeAttemptReport),
	}
}

func appendUsageReport(buf []byte, usage UsageReport) []byte {
	buf = appendInteger(buf, usage.Method)
	buf = appendInteger(buf, usage.RPCs)
	return appendInteger(buf, usage.Failures)
}

func decodeUsageReport(d *decoder) UsageReport {
	return UsageReport{Method: d.integer(), RPCs: d.integer(), Failures: d.integer()}
}

func appendAttemptReport(buf []byte, report AttemptReport) []byte {
	buf = appendInteger(buf, report.Backend)
	buf = appendInteger(buf, report.Attempts)
	buf = appendInteger(buf, report.Failures)
	return appendNumber(buf, report.MeanLatency)
}

func decodeAttemptReport(d *decoder) AttemptReport {
	report := AttemptReport{
		Backend:     d.backend(),
		Attempts:    d.integer(),
		Failures:    d.integer(),
		MeanLatency: d.number(),
	}
	if report.Failures > report.Attempts {
		d.fail(&failureCountError{failures: report.Failures, attempts: report.Attempts})
	}
	return report
}

func (ReportsReceived) appendFields(buf []byte) []byte { return buf }

func decodeReportsReceived(*decoder) Message { return ReportsReceived{} }

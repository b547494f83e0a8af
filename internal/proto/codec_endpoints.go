package proto

// minEndpointSize is a lower bound of the size of an encoded Endpoint, in bytes. The smallest one takes 24.
const minEndpointSize = 21

func (m WatchEndpoints) appendFields(buf []byte) []byte {
	buf = appendFlag(buf, m.On)
	return appendInteger(buf, m.SinceVersion)
}

func decodeWatchEndpoints(d *decoder) Message {
	return WatchEndpoints{On: d.flag(), SinceVersion: d.integer()}
}

func (FetchEndpoints) appendFields(buf []byte) []byte { return buf }

func decodeFetchEndpoints(*decoder) Message { return FetchEndpoints{} }

func (m EndpointUpdate) appendFields(buf []byte) []byte {
	buf = append(buf, byte(m.Kind))
	buf = appendInteger(buf, m.BaseVersion)
	buf = appendInteger(buf, m.Version)
	buf = appendText(buf, m.Reason)
	return appendList(buf, m.Endpoints, appendEndpoint)
}

func decodeEndpointUpdate(d *decoder) Message {
	return EndpointUpdate{
		Kind:        decodeEnum(d, updateKindCount, "kind"),
		BaseVersion: d.integer(),
		Version:     d.integer(),
		Reason:      d.text(),
		Endpoints:   decodeList(d, minEndpointSize, decodeEndpoint),
	}
}

func appendEndpoint(buf []byte, endpoint Endpoint) []byte {
	buf = appendInteger(buf, endpoint.Backend)
	buf = append(buf, byte(endpoint.State))
	buf = appendText(buf, endpoint.Kind)
	buf = appendText(buf, endpoint.Zone)
	buf = appendInteger(buf, endpoint.Cell)
	buf = appendNumber(buf, endpoint.Weight)
	buf = appendFlag(buf, endpoint.StartedLongAgo)
	buf = appendInteger(buf, endpoint.Incarnation)
	buf = appendNumber(buf, endpoint.Age)
	return appendText(buf, endpoint.Addr)
}

func decodeEndpoint(fields *decoder) Endpoint {
	return Endpoint{
		Backend:        fields.backend(),
		State:          decodeEnum(fields, backendStateCount, "state"),
		Kind:           fields.text(),
		Zone:           fields.text(),
		Cell:           fields.integer(),
		Weight:         fields.number(),
		StartedLongAgo: fields.flag(),
		Incarnation:    fields.integer(),
		Age:            fields.number(),
		Addr:           fields.text(),
	}
}

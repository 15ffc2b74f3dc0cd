package message

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"sedgestream/internal/decide/loadsum"
	"sedgestream/internal/decide/members"
)

// LoadReport is a datagram by which a router reports the load of its attempts to other routers, while no planner
// receives it. It is encoded as an array, so the order of its fields is the wire format.
type LoadReport struct {
	//lint:ignore U1000 msgpack reads the tag of this field by reflection
	_msgpack struct{} `msgpack:",as_array"`
	RunID    uint64   // of the router
	Loads    []loadsum.NodeLoad
}

// loadReportVersion is the first byte of a load report; datagrams of the membership start with Version.
const loadReportVersion = Version | 0x80

// EncodeLoadReport encodes a load report as a datagram. Loads that do not fit are left out from the end.
func EncodeLoadReport(report *LoadReport, fleet FleetID) ([]byte, error) {
	for loads := report.Loads; ; loads = loads[:len(loads)*3/4] {
		body, err := msgpack.Marshal(&LoadReport{RunID: report.RunID, Loads: loads})
		if err != nil {
			return nil, err
		}
		if datagramHeaderBytes+len(body) <= members.MaxDatagramBytes {
			return append(binary.BigEndian.AppendUint32([]byte{loadReportVersion}, uint32(fleet)), body...), nil
		}
	}
}

// IsLoadReport reports whether a datagram is a load report.
func IsLoadReport(datagram []byte) bool {
	return len(datagram) >= datagramHeaderBytes && datagram[0] == loadReportVersion
}

// DecodeLoadReport decodes a load report. If any part is out of bounds, the whole report is rejected.
func DecodeLoadReport(datagram []byte, fleet FleetID) (*LoadReport, error) {
	if !IsLoadReport(datagram) || len(datagram) > members.MaxDatagramBytes {
		return nil, fmt.Errorf("message: no load report in %d bytes", len(datagram))
	}
	if binary.BigEndian.Uint32(datagram[1:]) != uint32(fleet) {
		return nil, ErrOtherFleet
	}
	report := &LoadReport{}
	if err := msgpack.Unmarshal(datagram[datagramHeaderBytes:], report); err != nil {
		return nil, fmt.Errorf("message: no word of ours: %w", err)
	}
	var errs []error
	if len(report.Loads) > loadsum.MaxNodeLoads {
		errs = append(errs, fmt.Errorf("message: loads of %d nodes exceed the limit", len(report.Loads)))
	}
	for i := range report.Loads {
		errs = append(errs, checkLoad(report.Loads[i].InFlight, report.Loads[i].SelfReport))
	}
	return report, errors.Join(errs...)
}

package standin

import (
	"cmp"
	"fmt"
	"math"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// ServiceModel gives a node a limited service rate: it processes Cores requests at a time and queues the others
// in order of arrival. The processing time is exponentially distributed and derived from the request's id, so
// that two runs with the same ids have the same work.
type ServiceModel struct {
	Cores           int           // requests processed at a time; 0: any number
	MeanTime        time.Duration // mean processing time at speed 1
	ReportsInFlight bool          // reports carry inflight and util instead of load_share

	mu          sync.Mutex
	speed       float64 // factor on the processing rate; 1 matches the weight in the list
	reportsIdle bool    // reports claim an idle node
	failing     bool    // requests are answered with an error after a 20th of the mean time
	inFlight    int
	busy        int
	waiting     []chan struct{}
}

// maxWorkMeans limits the processing time of a request, as a multiple of the mean.
const maxWorkMeans = 5

// UseServiceModel has the node process its statements by the model from now on.
func (n *Node) UseServiceModel(model *ServiceModel) *Node {
	model.speed = 1
	n.WithLock(func() {
		n.model = model
		n.Handler = func(backend *pgproto3.Backend, conn net.Conn, query string) {
			if model.isFailing() {
				time.Sleep(model.MeanTime / 20)
				n.ErrorHandler("XX000")(backend, conn, query)
				return
			}
			model.process(query)
			n.SendValue(backend, "from "+n.role())
		}
	})
	return n
}

// Cores returns how many requests the node processes at a time; 0: any number.
func (n *Node) Cores() int {
	if n.model == nil {
		return 0
	}
	return n.model.Cores
}

// SetSpeed sets the factor on the node's processing rate; 1 is the initial one.
func (n *Node) SetSpeed(speed float64) {
	if model := n.model; model != nil {
		model.mu.Lock()
		model.speed = speed
		model.mu.Unlock()
	}
}

// SetReportsIdle makes the node's reports claim that it is idle, or tell the truth again.
func (n *Node) SetReportsIdle(on bool) {
	if model := n.model; model != nil {
		model.mu.Lock()
		model.reportsIdle = on
		model.mu.Unlock()
	}
}

// SetFailing makes the node answer every request quickly with an error, or process requests again.
func (n *Node) SetFailing(on bool) {
	if model := n.model; model != nil {
		model.mu.Lock()
		model.failing = on
		model.mu.Unlock()
	}
}

func (m *ServiceModel) isFailing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failing
}

// process waits for a free core and sleeps for the request's processing time.
func (m *ServiceModel) process(query string) {
	m.mu.Lock()
	m.inFlight++
	var ready chan struct{}
	if m.Cores > 0 && m.busy >= m.Cores {
		ready = make(chan struct{})
		m.waiting = append(m.waiting, ready)
	} else {
		m.busy++
	}
	m.mu.Unlock()
	if ready != nil {
		<-ready
	}
	m.mu.Lock()
	speed := m.speed
	m.mu.Unlock()
	time.Sleep(time.Duration(float64(m.MeanTime) / speed * min(maxWorkMeans, -math.Log(1-min(IDFraction(query), 1-1e-9)))))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	if len(m.waiting) > 0 {
		close(m.waiting[0])
		m.waiting = m.waiting[1:]
	} else {
		m.busy--
	}
}

// report returns the load fields of a probe's answer.
func (m *ServiceModel) report() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	inFlight, utilization := m.inFlight, float64(m.busy)/float64(cmp.Or(m.Cores, math.MaxInt32))
	if m.reportsIdle {
		inFlight, utilization = 0, 0
	}
	if !m.ReportsInFlight {
		return fmt.Sprintf("load_share=%.2f", utilization)
	}
	return fmt.Sprintf("inflight=%d,util=%.2f", inFlight, utilization)
}

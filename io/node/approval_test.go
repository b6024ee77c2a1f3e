package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
)

// Guards against an owner that panics, as does each that takes over, because the settings name no
// approval service.
func TestApprovalWithoutServiceFails(t *testing.T) {
	o := &owner{node: &Node{}, log: zerolog.Nop(), events: make(chan event, 1)}
	c := schedule.RequestApproval{Step: job.StepID{Job: "j"}, VMs: []job.VMID{"a"}, AnswerDue: bootNow().Add(time.Second)}
	o.requestApprovals(t.Context(), c)
	answer, ok := (<-o.events).(approvalAnswered)
	assert.Assert(t, ok)
	assert.Assert(t, answer.answer.Failed)
}

// Guards against a job that is accepted and can never start.
func TestJobOfQueueWithoutApprovalServiceIsDenied(t *testing.T) {
	_, table := newFakeTable(t, respondWith(http.StatusOK, `{"ver":1}`))
	handler := newCallerHandler(healthWithLastAnswer(0))
	handler.jobs = newJobStore(table)
	handler.jobs.health = handler.health
	handler.view.config.Queues[1].Approval = &job.Approval{}
	handler.view.config.Index()
	assert.Equal(t, sendCall(handler, http.MethodPost, "/open/0123456789abcdef").Code, http.StatusServiceUnavailable)
	handler.canApprove = true
	assert.Equal(t, sendCall(handler, http.MethodPost, "/open/0123456789abcdef").Code, http.StatusOK)
}

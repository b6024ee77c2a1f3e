package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"lavenderpond/io/target"
)

// maxBodyBytes is the maximum size of a task's body.
const maxBodyBytes = 16 << 20

func taskName(r *http.Request) string { return r.PathValue("team") + "/" + r.PathValue("id") }

// readBody reads at most maxBodyBytes of a request's body. It returns an error if the body
// is shorter than the request states.
func readBody(r *http.Request) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(target.HeaderNotStarted, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// makeAnswer returns the answer of a task, padded to the size that the work asks for. It
// names the task, so that a person who reads it sees which task it belongs to.
func makeAnswer(name string, body []byte, work Work) []byte {
	answer := fmt.Appendf(nil, "done %s, %d bytes in", name, len(body))
	if fill := work.AnswerBytes - len(answer); fill > 0 {
		answer = append(answer, bytes.Repeat([]byte{'.'}, fill)...)
	}
	return answer
}

// reply sends the answer of a task, changed as the faults demand.
func reply(w http.ResponseWriter, r *http.Request, name, state string, answer []byte, f Faults, work Work) {
	if f.LoseAnswers > 0 {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	if f.MisdirectAnswers > 0 {
		// The answer is complete, but belongs to another task.
		name = "other/task"
		answer = makeAnswer(name, nil, work)
	}
	h := w.Header()
	h.Set(target.HeaderTask, name)
	h.Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
	h.Set(target.HeaderState, state)
	h.Set(target.HeaderLength, strconv.Itoa(len(answer)))
	if f.FailAll || work.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if f.TruncateAnswers > 0 {
		answer = answer[:len(answer)/2]
	}
	_, _ = w.Write(answer)
}

func decrement(n *int) {
	if *n > 0 {
		*n--
	}
}

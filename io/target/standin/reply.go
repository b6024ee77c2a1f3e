package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"lavenderpond/io/target"
)

// maxBodyBytes bounds a task's body, in bytes.
const maxBodyBytes = 16 << 20

func taskName(r *http.Request) string { return r.PathValue("team") + "/" + r.PathValue("id") }

// readBody reads a request's body and refuses one that is shorter than stated.
func readBody(r *http.Request) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(target.HeaderNotStarted, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// makeAnswer makes the answer of a task: it names the task, so that a person sees
// whose it is, and is filled up to the size that the work asks for.
func makeAnswer(name string, body []byte, work Work) []byte {
	answer := fmt.Appendf(nil, "done %s, %d bytes in", name, len(body))
	if fill := work.AnswerBytes - len(answer); fill > 0 {
		answer = append(answer, bytes.Repeat([]byte{'.'}, fill)...)
	}
	return answer
}

func reply(w http.ResponseWriter, r *http.Request, name, state string, answer []byte, f Faults, work Work) {
	if f.LoseAnswers > 0 {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	if f.CrossAnswers > 0 {
		// Whole in itself, and another task's.
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
	if f.CutAnswers > 0 {
		answer = answer[:len(answer)/2]
	}
	_, _ = w.Write(answer)
}

func decrement(n *int) {
	if *n > 0 {
		*n--
	}
}

package enginesim

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/uptrace/bunrouter"
)

// faultHandler serves the fault and inspection port. It answers while the engine is frozen.
func (e *Engine) faultHandler() http.Handler {
	router := bunrouter.New()
	router.GET("/faults", e.handleGetFaults)
	router.PUT("/faults", e.handlePutFaults)
	router.DELETE("/faults", e.handleDeleteFaults)
	router.GET("/runs", e.handleGetRuns)
	router.DELETE("/runs", e.handleDeleteRuns)
	router.GET("/counters", e.handleGetCounters)
	router.POST("/stop", e.handleStop)
	return router
}

func (e *Engine) handleGetFaults(w http.ResponseWriter, _ bunrouter.Request) error {
	return writeJSON(w, http.StatusOK, e.faults.get())
}

func (e *Engine) handlePutFaults(w http.ResponseWriter, request bunrouter.Request) error {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxControlBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return reject(w, err.Error())
	}
	e.faults.set(faults)
	return writeJSON(w, http.StatusOK, faults)
}

func (e *Engine) handleDeleteFaults(w http.ResponseWriter, _ bunrouter.Request) error {
	e.faults.set(Faults{})
	return writeJSON(w, http.StatusOK, Faults{})
}

// handleGetRuns lists executions by request; "min" leaves out requests executed fewer times.
func (e *Engine) handleGetRuns(w http.ResponseWriter, request bunrouter.Request) error {
	minimum := 1
	if text := request.URL.Query().Get("min"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil {
			return reject(w, "min must be a number")
		}
		minimum = parsed
	}
	return writeJSON(w, http.StatusOK, e.runs.all(minimum))
}

func (e *Engine) handleDeleteRuns(w http.ResponseWriter, _ bunrouter.Request) error {
	e.runs.clear()
	return writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) handleGetCounters(w http.ResponseWriter, _ bunrouter.Request) error {
	return writeJSON(w, http.StatusOK, e.Counters())
}

// handleStop ends the engine as a crash would.
func (e *Engine) handleStop(w http.ResponseWriter, _ bunrouter.Request) error {
	w.WriteHeader(http.StatusAccepted)
	e.tomb.Kill(nil)
	return nil
}

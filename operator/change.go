package operator

import (
	"errors"
	"fmt"
	"net/http"

	"daisyswitch/wire"

	"github.com/julienschmidt/httprouter"
)

// changeID identifies a change by its operator and that operator's sequence number.
type changeID struct {
	operator string
	sequence uint64
}

func changeIDOf(r *http.Request) (changeID, error) {
	operator := r.Header.Get(HeaderOperator)
	if operator == "" || len(operator) > maxNameBytes {
		return changeID{}, fmt.Errorf("header %s: must be a name of 1 to %d bytes", HeaderOperator, maxNameBytes)
	}
	sequence, err := parseNumber(r.Header.Get(HeaderSequence), 0)
	if err != nil || sequence == 0 {
		return changeID{}, fmt.Errorf("header %s: must be a whole number above 0", HeaderSequence)
	}
	return changeID{operator, sequence}, nil
}

func baseVersionOf(r *http.Request) (uint64, error) {
	text := r.Header.Get(HeaderBaseVersion)
	base, err := parseNumber(text, 0)
	if err != nil || text == "" {
		return 0, fmt.Errorf("header %s: must be the configuration version that the change is based on", HeaderBaseVersion)
	}
	return base, nil
}

// proposeChange proposes one change of the configuration to control and writes its result.
func (f *Front) proposeChange(w http.ResponseWriter, r *http.Request, c *wire.Change) {
	id, err := changeIDOf(r)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	base, err := baseVersionOf(r)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	c.Operator = id.operator
	c.Sequence = id.sequence
	c.BaseVersion = base
	result, ok := f.propose(w, r, &wire.Command{Change: c})
	if ok {
		writeResult(w, changeResultFromWire(result.GetChange()))
	}
}

func writeResult(w http.ResponseWriter, result Result) {
	status := http.StatusOK
	switch result.Outcome {
	case OutcomeConflict:
		status = http.StatusConflict
	case OutcomeRefused:
		status = http.StatusUnprocessableEntity
	}
	writeJSON(w, status, result)
}

// parseNamed parses a request body whose name is either missing or equal to the name in the path; it refuses any other request and then returns false.
func parseNamed[T any](w http.ResponseWriter, r *http.Request, params httprouter.Params, name func(*T) *string) (*T, bool) {
	var out T
	if err := parseBody(w, r, &out); err != nil {
		writeBadRequest(w, err)
		return nil, false
	}
	bodyName := name(&out)
	pathName := params.ByName("name")
	if *bodyName != "" && *bodyName != pathName {
		writeBadRequest(w, fmt.Errorf("name: %q in the body does not match %q in the path", *bodyName, pathName))
		return nil, false
	}
	*bodyName = pathName
	return &out, true
}

func (f *Front) putClass(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	c, ok := parseNamed(w, r, params, func(c *Class) *string { return &c.Name })
	if !ok {
		return
	}
	class, err := c.wire()
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	f.proposeChange(w, r, &wire.Change{Operation: &wire.Change_PutClass{PutClass: class}})
}

func (f *Front) removeClass(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	f.proposeChange(w, r, &wire.Change{Operation: &wire.Change_RemoveClass{RemoveClass: params.ByName("name")}})
}

func (f *Front) putTeam(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	t, ok := parseNamed(w, r, params, func(t *Team) *string { return &t.Name })
	if !ok {
		return
	}
	team := &wire.Team{Name: t.Name, Quota: t.Quota.Wire()}
	f.proposeChange(w, r, &wire.Change{Operation: &wire.Change_PutTeam{PutTeam: team}})
}

func (f *Front) removeTeam(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	f.proposeChange(w, r, &wire.Change{Operation: &wire.Change_RemoveTeam{RemoveTeam: params.ByName("name")}})
}

func (f *Front) putDomain(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	d, ok := parseNamed(w, r, params, func(d *Domain) *string { return &d.Name })
	if !ok {
		return
	}
	domain := &wire.Domain{Name: d.Name, Out: d.Out}
	f.proposeChange(w, r, &wire.Change{Operation: &wire.Change_SetDomain{SetDomain: domain}})
}

func (f *Front) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body Job
	if err := parseBody(w, r, &body); err != nil {
		writeBadRequest(w, err)
		return
	}
	if !body.Size.Valid() || body.Tasks < 1 {
		writeBadRequest(w, errors.New("job: size must be above 0 and tasks must be at least 1"))
		return
	}
	if body.ID != "" {
		writeBadRequest(w, errors.New("job: id must be empty, since control assigns it"))
		return
	}
	id, err := changeIDOf(r)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	command := &wire.SubmitJob{Operator: id.operator, Sequence: id.sequence, Job: body.wire()}
	result, ok := f.propose(w, r, &wire.Command{Submit: command})
	if ok {
		writeResult(w, jobResultFromWire(result.GetJob()))
	}
}

func (f *Front) cancel(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	id, err := changeIDOf(r)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	command := &wire.CancelJob{Operator: id.operator, Sequence: id.sequence, Job: params.ByName("id")}
	result, ok := f.propose(w, r, &wire.Command{Cancel: command})
	if ok {
		writeResult(w, jobResultFromWire(result.GetJob()))
	}
}

package operator

import (
	"errors"
	"fmt"
	"net/http"

	"daisyswitch/wire"

	"github.com/julienschmidt/httprouter"
)

// author is who sends a change, under which number.
type author struct {
	operator string
	sequence uint64
}

func authorOf(r *http.Request) (author, error) {
	operator := r.Header.Get(HeaderOperator)
	if operator == "" || len(operator) > maxNameBytes {
		return author{}, fmt.Errorf("header %s: a name of 1 to %d bytes is needed", HeaderOperator, maxNameBytes)
	}
	sequence, err := number(r.Header.Get(HeaderSequence), 0)
	if err != nil || sequence == 0 {
		return author{}, fmt.Errorf("header %s: a whole number above 0 is needed", HeaderSequence)
	}
	return author{operator, sequence}, nil
}

func baseVersionOf(r *http.Request) (uint64, error) {
	text := r.Header.Get(HeaderBaseVersion)
	base, err := number(text, 0)
	if err != nil || text == "" {
		return 0, fmt.Errorf("header %s: the configuration version that the change was made from is needed", HeaderBaseVersion)
	}
	return base, nil
}

// change proposes one change of the configuration and answers its result.
func (f *Front) change(w http.ResponseWriter, r *http.Request, c *wire.Change) {
	a, err := authorOf(r)
	if err != nil {
		refuse(w, err)
		return
	}
	base, err := baseVersionOf(r)
	if err != nil {
		refuse(w, err)
		return
	}
	c.Operator = a.operator
	c.Sequence = a.sequence
	c.BaseVersion = base
	result, ok := f.propose(w, r, &wire.Command{Change: c})
	if ok {
		answer(w, changeResult(result.GetChange()))
	}
}

func answer(w http.ResponseWriter, result Result) {
	status := http.StatusOK
	switch result.Outcome {
	case OutcomeConflict:
		status = http.StatusConflict
	case OutcomeRefused:
		status = http.StatusUnprocessableEntity
	}
	write(w, status, result)
}

// body parses a body whose name is that of the path, or absent; it answers what cannot be understood.
func body[T any](w http.ResponseWriter, r *http.Request, params httprouter.Params, name func(*T) *string) (*T, bool) {
	var out T
	if err := parse(w, r, &out); err != nil {
		refuse(w, err)
		return nil, false
	}
	inBody := name(&out)
	inPath := params.ByName("name")
	if *inBody != "" && *inBody != inPath {
		refuse(w, fmt.Errorf("name: %q in the body is not the path's %q", *inBody, inPath))
		return nil, false
	}
	*inBody = inPath
	return &out, true
}

func (f *Front) putClass(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	c, ok := body(w, r, params, func(c *Class) *string { return &c.Name })
	if !ok {
		return
	}
	class, err := c.wire()
	if err != nil {
		refuse(w, err)
		return
	}
	f.change(w, r, &wire.Change{Operation: &wire.Change_PutClass{PutClass: class}})
}

func (f *Front) removeClass(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	f.change(w, r, &wire.Change{Operation: &wire.Change_RemoveClass{RemoveClass: params.ByName("name")}})
}

func (f *Front) putTeam(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	t, ok := body(w, r, params, func(t *Team) *string { return &t.Name })
	if !ok {
		return
	}
	team := &wire.Team{Name: t.Name, Quota: t.Quota.Wire()}
	f.change(w, r, &wire.Change{Operation: &wire.Change_PutTeam{PutTeam: team}})
}

func (f *Front) removeTeam(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	f.change(w, r, &wire.Change{Operation: &wire.Change_RemoveTeam{RemoveTeam: params.ByName("name")}})
}

func (f *Front) putDomain(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	d, ok := body(w, r, params, func(d *Domain) *string { return &d.Name })
	if !ok {
		return
	}
	domain := &wire.Domain{Name: d.Name, Out: d.Out}
	f.change(w, r, &wire.Change{Operation: &wire.Change_SetDomain{SetDomain: domain}})
}

func (f *Front) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body Job
	if err := parse(w, r, &body); err != nil {
		refuse(w, err)
		return
	}
	if !body.Size.Valid() || body.Tasks < 1 {
		refuse(w, errors.New("job: a size above 0 and at least one task are needed"))
		return
	}
	if body.ID != "" {
		refuse(w, errors.New("job: its id is chosen by control and cannot be asked for"))
		return
	}
	a, err := authorOf(r)
	if err != nil {
		refuse(w, err)
		return
	}
	command := &wire.SubmitJob{Operator: a.operator, Sequence: a.sequence, Job: body.wire()}
	result, ok := f.propose(w, r, &wire.Command{Submit: command})
	if ok {
		answer(w, jobResult(result.GetJob()))
	}
}

func (f *Front) cancel(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	a, err := authorOf(r)
	if err != nil {
		refuse(w, err)
		return
	}
	command := &wire.CancelJob{Operator: a.operator, Sequence: a.sequence, Job: params.ByName("id")}
	result, ok := f.propose(w, r, &wire.Command{Cancel: command})
	if ok {
		answer(w, jobResult(result.GetJob()))
	}
}

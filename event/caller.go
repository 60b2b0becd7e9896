package event

// Events of callers' requests, 350 to 399.
var (
	AnswerLost = register(350, "answer_lost", "A request was sent to an upstream and its answer was lost; the verdict says whether it may have run.")
)

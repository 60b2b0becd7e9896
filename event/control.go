package event

// Events of control, 250 to 299.
var (
	LeadershipGained = register(250, "leadership_gained", "This replica leads and has started its scheduling loop.")
	LeadershipLost   = register(251, "leadership_lost", "This replica no longer leads and has stopped its scheduling loop.")
	ChangeAnswered   = register(252, "change_answered", "An operator's change was accepted, refused, or rejected because another change came first.")
	DecisionRefused  = register(255, "decision_refused", "A record of the scheduling loop could not be committed; the decision is made again.")
)

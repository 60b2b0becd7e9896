package event

// Events of control, 250 to 299.
var (
	LeadershipGained = register(250, "leadership_gained", "This replica leads and its scheduling loop has begun.")
	LeadershipLost   = register(251, "leadership_lost", "This replica no longer leads and its scheduling loop has ended.")
	ChangeAnswered   = register(252, "change_answered", "An operator's change was accepted, refused or lost to another one.")
	DecisionRefused  = register(255, "decision_refused", "A record of the scheduling loop could not be committed and is decided anew.")
)

package queuer

// Limits bound a queue; zero values mean the defaults.
type Limits struct {
	Total     int // items of the whole queue
	Workspace int // items of one workspace
	Class     int // items of one class within a workspace
	Caller    int // items of one caller
}

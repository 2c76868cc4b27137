// Package starttracker keeps the start requests without a response, which workers may still carry out.
//
// A process refuses such a request once it has confirmed a stop request of its run, or its clock has passed the end of the requested
// lease. The next process under the ID of the worker knows nothing of the stop, its clock starts anew, and the request may reach it
// before any other call. While a worker is in trouble, its tasks of that kind are therefore neither started nor left at work elsewhere.
package starttracker

"""Rate limits, retry budgets, and fair queueing of requests for targets."""

"""Request decisions: admission, choice of upstream, retries, slot credits, outlier detection."""

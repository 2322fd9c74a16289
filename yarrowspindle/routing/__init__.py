"""The core: jobs, their states and endings, and the one reducer. It knows no wire and no event loop."""

"""Stand-ins of the third review: platform, backend servers, clients and operator."""

"""Parts that the scripts of the third review share."""

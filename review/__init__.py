"""Cases of an independent review, with the stand-ins that they share."""

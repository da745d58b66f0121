#!/usr/bin/env node
// Checked in, so that npm can link the executable before the first build.
import '../dist/main.js';

#!/usr/bin/env node
// Exists before the build, so that npm can link it when it installs.
import '../dist/briarpin.js';

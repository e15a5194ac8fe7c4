/** Controllers, each of which owns one part of a daemon's state. */
package io.bilberrygrade.serving.controller;

/** Access to plain services. */
package io.bilberrygrade.serving.service;
